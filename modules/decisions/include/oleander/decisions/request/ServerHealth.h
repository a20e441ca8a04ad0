#pragma once

#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <cstdint>

namespace oleander {

/// What a coordinator has seen of one backend server.
struct ServerHealth
{
    /// Failures since the last success: lost connections, failures to open, silent connections.
    int consecutiveFailures = 0;
    /// Ejections that followed each other; lengthens the next one.
    int ejections = 0;
    TimePoint ejectedUntil{};
    /// Direct evidence of leaving is believed until then.
    TimePoint drainingUntil{};
    /// Start of slow start: first contact, or return after an ejection.
    TimePoint warmingSince{};
    /// Moving average of latency in microseconds; zero until the first reply.
    std::int64_t latency = 0;
    std::int64_t samples = 0;
    /// Requests at the server by its own report; it may be wrong.
    int reportedLoad = 0;
    /// Requests in flight that the server takes without shedding, learned; in thousandths.
    std::int64_t window = 0;
};

/// A reply came back and the server executed the request.
void noteReply(ServerHealth &health, Duration latency, int reportedLoad);
/// The server refused for load: halves the learned window.
void noteServerShed(ServerHealth &health);
/// The server said that it is leaving, or the platform did.
void noteDraining(ServerHealth &health, TimePoint now, const Policy &policy);
/// A connection was lost, could not be opened, or went silent.
void noteFailure(ServerHealth &health);

/// Whether the server stands out enough to be ejected: several failures in a row, or a latency
/// several times the usual one of its service.
bool isOutlier(const ServerHealth &health, Duration usualLatency);

/// Whether one more server of a service may be ejected. At least one is always kept.
bool mayEject(int ejected, int servers, PerMille limit);

/// Starts an ejection; repeated ones last longer, up to eight times the configured time.
void eject(ServerHealth &health, TimePoint now, const Policy &policy);

[[nodiscard]] bool isEjected(const ServerHealth &health, TimePoint now);
[[nodiscard]] bool isDraining(const ServerHealth &health, TimePoint now);

/// Sub-requests a coordinator may have in flight at the server: its share of the slots plus the
/// pipeline depth, cut by slow start and by the window learned from shed replies. At least one.
int concurrencyLimit(const ServerHealth &health, int slots, const Policy &policy, TimePoint now);

} // namespace oleander
