#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/settings/Finding.h>

#include <optional>
#include <string_view>

namespace oleander {

/// Reads the published value `partitions/<service>`.
///
/// The map is checked whole: every shard has a replica, every replica is a server of the map, the
/// key ranges stand in order and cover all keys once, no id occurs twice, and slots and connection
/// caps are at least 1.
std::optional<PartitionMap> parsePartitionMap(std::string_view text, SectionVersion version,
                                              Reason &reason);

/// The same, with every fault instead of the first.
std::optional<PartitionMap> readPartitionMap(std::string_view text, SectionVersion version,
                                             Findings &findings);

/// Whether the coordinators of the service may open their connections to each server of the map
/// without using more than the configured share of a server's connection cap.
void checkConnectionCaps(const PolicySet &set, const PartitionMap &map, Findings &findings);

} // namespace oleander
