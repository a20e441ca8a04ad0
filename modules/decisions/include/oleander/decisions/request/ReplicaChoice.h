#pragma once

#include <oleander/core/Units.h>

#include <cstdint>
#include <optional>
#include <span>

namespace oleander {

/// One server to which a sub-request could be sent.
struct ReplicaCandidate
{
    /// Returned when this candidate is chosen.
    std::size_t index = 0;
    /// Sub-requests of this coordinator in flight at the server.
    int inFlight = 0;
    int concurrencyLimit = 1;
    /// Moving average of the latency in microseconds; zero when unknown.
    std::int64_t latency = 0;
    /// Requests at the server, as reported by the server.
    int reportedLoad = 0;
    /// Whether the server is in the data centre of the coordinator.
    bool isInSameDataCentre = true;
};

/// Chooses among the candidates that are below their concurrency limit, or returns std::nullopt.
///
/// Candidates are compared by the used share of the concurrency limit, then data centre, then
/// latency (in coarse steps), then reported load, and finally a hash of `tieBreak` and index.
/// Reported load comes last because it is delayed and may be wrong.
std::optional<std::size_t> chooseReplica(std::span<const ReplicaCandidate> candidates,
                                         std::uint64_t tieBreak);

} // namespace oleander
