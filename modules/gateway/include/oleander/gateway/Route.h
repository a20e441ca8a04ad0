#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>

#include <string>
#include <vector>

namespace oleander::gateway {

using RouteId = NameId<struct RouteTag>;

/// Whether a request may be executed more than once.
enum class Repeatability { Idempotent, AtMostOnce };

/// A service that takes a share of a route's requests.
struct WeightedService
{
    ServiceId service;
    /// Relative to the weights of the route's other services.
    double weight = 1;
};

/// How the requests of one host and path prefix are served. Either `services` or `shards` is set;
/// a route without both must not come here.
struct Route
{
    RouteId id;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
    /// A caller is never kept waiting longer.
    Duration timeout = seconds(30);
    /// An answer within this time is worth most to the caller.
    Duration objective = seconds(1);
    /// Rank among the routes; zero comes first.
    int priority = 0;
    /// Servers that one request may be sent to; for each shard where there are shards.
    int maximumAttempts = 1;
    std::vector<WeightedService> services;
    std::vector<ServiceId> shards;
    /// Records of an answer that is gathered from shards.
    std::size_t recordLimit = 0;
    /// Smallest share of the shards, 0 to 1, that makes an answer.
    double minimumShare = 1.0;

    [[nodiscard]] bool isGathered() const { return !shards.empty(); }
};

/// Shards that an answer of the route must have at least.
[[nodiscard]] std::size_t requiredShards(const Route &route);

} // namespace oleander::gateway
