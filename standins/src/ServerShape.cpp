#include <oleander/standins/ServerShape.h>

namespace oleander::standins {

std::optional<LoadReport> loadReportNamed(std::string_view name)
{
    if (name == "honest")
        return LoadReport::Honest;
    if (name == "zero")
        return LoadReport::Zero;
    if (name == "lagging")
        return LoadReport::Lagging;
    return std::nullopt;
}

} // namespace oleander::standins
