#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/settings/Finding.h>

#include <optional>
#include <string_view>
#include <vector>

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

/// Whether the coordinators of all these services together may open their connections to each
/// server without using more than the configured share of its connection cap. A server is told by
/// its address, since several services may have replicas on it.
void checkConnectionCaps(const PolicySet &set, const std::vector<PartitionMap> &maps,
                         Findings &findings);

} // namespace oleander
