#pragma once

#include <oleander/core/Units.h>

#include <cstdint>
#include <optional>
#include <span>

namespace oleander {

/// One replica that could take a sub-request.
struct ReplicaCandidate
{
    /// Returned when this candidate is chosen.
    std::size_t index = 0;
    /// Sub-requests of this coordinator in flight at the server.
    int inFlight = 0;
    int concurrencyLimit = 1;
    /// Moving average in microseconds; zero when unknown.
    std::int64_t latency = 0;
    int reportedLoad = 0;
    /// False for servers in another data centre than the coordinator.
    bool isNear = true;
};

/// The best candidate that is below its concurrency limit: least own in-flight share first, then
/// clearly lower latency, then lower reported load; equals are told apart by `tieBreak`. Reported
/// load counts last because it lags and can mislead.
std::optional<std::size_t> chooseReplica(std::span<const ReplicaCandidate> candidates,
                                         std::uint64_t tieBreak);

} // namespace oleander
