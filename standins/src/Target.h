#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oleander::standins {

/// A request target cut into its path and the arguments of its query string.
struct Target
{
    std::string path;
    std::map<std::string, std::string> arguments;

    /// The argument as a whole number, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> number(const std::string &name) const;
};

Target splitTarget(std::string_view text);

/// The part of the path behind a prefix, or nothing.
std::optional<std::string> tailOf(const std::string &path, std::string_view prefix);

} // namespace oleander::standins
