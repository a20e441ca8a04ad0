#include "Target.h"

#include <charconv>
#include <sstream>

namespace oleander::standins {

std::optional<std::uint64_t> Target::number(const std::string &name) const
{
    const auto found = arguments.find(name);
    if (found == arguments.end())
        return std::nullopt;
    std::uint64_t value = 0;
    const auto &text = found->second;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

Target splitTarget(std::string_view text)
{
    Target target;
    const auto mark = text.find('?');
    target.path = text.substr(0, mark);
    if (mark == std::string_view::npos)
        return target;
    std::istringstream rest{std::string(text.substr(mark + 1))};
    for (std::string part; std::getline(rest, part, '&');) {
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            target.arguments[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return target;
}

std::optional<std::string> tailOf(const std::string &path, std::string_view prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return path.substr(prefix.size());
}

} // namespace oleander::standins
