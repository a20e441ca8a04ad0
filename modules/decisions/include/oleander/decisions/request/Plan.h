#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>
#include <oleander/core/Reason.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace oleander {

/// The partition map that a query uses, and the shards that it covers.
///
/// The plan owns a reference to the map, so snapshot, key ranges and replicas do not change during
/// the query, even if a newer map is published.
struct QueryPlan
{
    std::shared_ptr<const PartitionMap> map;
    /// Indices into map->shards, in ascending order.
    std::vector<std::size_t> shards;
};

/// The partition map of the query's service, or null. Fails with UnknownBackend when the backend or
/// service is not published, or when the query names no service and the backend has several.
std::shared_ptr<const PartitionMap> partitionMapFor(const Query &query, const FleetView &view,
                                                    Reason &reason);

/// Selects the shards that a query requests, by name or by key range. Fails with UnknownShard when
/// a named shard is not in the map, and with BadRequest when the key range is empty.
std::optional<QueryPlan> planQuery(const Query &query, std::shared_ptr<const PartitionMap> map,
                                   Reason &reason);

/// Hash of the service and the payload; does not depend on the caller. Never zero.
Fingerprint fingerprintOf(const ServiceId &service, const std::string &payload);

/// The key for coordinatorOrder(); queries with equal keys go to the same coordinator. This is the
/// fingerprint for idempotent queries, and otherwise a hash of caller and request id, so that a
/// resent request reaches the coordinator whose RequestMemory contains it.
std::uint64_t routingKey(const Query &query, const ServiceId &service);

} // namespace oleander
