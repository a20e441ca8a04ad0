#include <oleander/gateway/HttpMessage.h>

namespace oleander::gateway {

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace oleander::gateway
