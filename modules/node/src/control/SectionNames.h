#pragma once

#include <oleander/core/Ids.h>

#include <optional>
#include <string>
#include <string_view>

namespace oleander::sections {

/// Names of the sections, which are also their keys on the platform. See
/// docs/design/published-formats.md.
inline constexpr std::string_view config = "config";
inline constexpr std::string_view instances = "instances";
inline constexpr std::string_view services = "services";
inline constexpr std::string_view partitionsPrefix = "partitions/";

/// The key of a service's partition map.
inline std::string partitionsOf(const ServiceId &service)
{
    return std::string(partitionsPrefix) + service.text();
}

/// The service whose partition map has this key; empty for other keys.
inline std::optional<ServiceId> serviceOf(std::string_view name)
{
    if (!name.starts_with(partitionsPrefix) || name.size() == partitionsPrefix.size())
        return std::nullopt;
    return ServiceId(std::string(name.substr(partitionsPrefix.size())));
}

} // namespace oleander::sections
