#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>

#include <string>
#include <vector>

namespace oleander::gateway {

using RouteId = NameId<struct RouteTag>;

/// Whether a request may be executed more than once.
enum class Idempotency { Idempotent, NonIdempotent };

/// A service that receives a share of a route's requests.
struct WeightedService
{
    ServiceId service;
    /// Weight relative to the route's other services.
    double weight = 1;
};

/// Rules for requests of one host and path prefix. Exactly one of `services` and `shards` is set; a
/// route with neither is invalid and must not be passed to the gateway.
struct Route
{
    RouteId id;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    Idempotency idempotency = Idempotency::NonIdempotent;
    /// Maximum time until the caller is answered.
    Duration timeout = seconds(30);
    /// Latency objective: answers within this time have the most value for the caller.
    Duration objective = seconds(1);
    /// Priority among the routes; zero is the highest.
    int priority = 0;
    /// Maximum number of servers that may execute one request; counted for each shard separately.
    int maximumAttempts = 1;
    std::vector<WeightedService> services;
    std::vector<ServiceId> shards;
    /// Maximum number of records in an answer merged from shards.
    std::size_t recordLimit = 0;
    /// Minimum share of the shards, from 0 to 1, that an answer requires.
    double minimumShare = 1.0;
    /// Regions whose servers may get the requests; all if empty.
    std::vector<std::string> homeRegions{};

    [[nodiscard]] bool isGathered() const { return !shards.empty(); }
};

/// Number of shards that an answer of the route requires.
[[nodiscard]] std::size_t requiredShards(const Route &route);

} // namespace oleander::gateway
