#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>
#include <oleander/core/Reason.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace oleander {

/// Which shards of which published partition map a query is to be answered from.
///
/// The plan holds the map, so the snapshot, the ranges and the replicas stay the same for the whole
/// query whatever is published meanwhile.
struct QueryPlan
{
    std::shared_ptr<const PartitionMap> map;
    /// Indices into map->shards, rising.
    std::vector<std::size_t> shards;
};

/// The partition map that a query is about. Fails with UnknownBackend when the backend or service
/// is not published, or when the query names no service and the backend has several.
std::shared_ptr<const PartitionMap> partitionMapFor(const Query &query, const FleetView &view,
                                                    Reason &reason);

/// Selects the shards that a query asks for, by name or by key range. Fails with UnknownShard when
/// a named shard is not in the map, and with BadRequest when the key range is empty.
std::optional<QueryPlan> planQuery(const Query &query, std::shared_ptr<const PartitionMap> map,
                                   Reason &reason);

/// Hash of what a query makes a server do: the service and the payload, not who asks. Never zero.
Fingerprint fingerprintOf(const ServiceId &service, const std::string &payload);

/// Queries with equal keys go to the same coordinator: by fingerprint when idempotent, otherwise by
/// caller and request id, so that a repeated request meets the memory of the first.
std::uint64_t routingKey(const Query &query, const ServiceId &service);

} // namespace oleander
