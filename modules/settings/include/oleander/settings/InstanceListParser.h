#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/settings/Finding.h>

#include <optional>
#include <string_view>
#include <vector>

namespace oleander {

/// Reads the published value `instances`. The result is in order of id. An empty list is refused:
/// it would leave every service without coordinator.
std::optional<InstanceList> parseInstanceList(std::string_view text, SectionVersion version,
                                              Reason &reason);

/// The same, with every fault instead of the first.
std::optional<InstanceList> readInstanceList(std::string_view text, SectionVersion version,
                                             Findings &findings);

/// Reads the published value `services`: the services that have a partition map, without repeats.
std::optional<std::vector<ServiceId>> parseServiceNames(std::string_view text, Reason &reason);

/// The same, with every fault instead of the first.
std::optional<std::vector<ServiceId>> readServiceNames(std::string_view text, Findings &findings);

} // namespace oleander
