#pragma once

#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <cstdint>

namespace oleander {

/// Observations of a coordinator about one backend server.
struct ServerHealth
{
    /// Failures since the last success: connections that were lost, could not be opened, or have an
    /// overdue reply.
    int consecutiveFailures = 0;
    /// Number of ejections so far; each one makes the next one longer.
    int ejections = 0;
    TimePoint ejectedUntil{};
    /// The server counts as draining until then.
    TimePoint drainingUntil{};
    /// Start of the slow start: first contact, or end of an ejection.
    TimePoint slowStartSince{};
    /// Moving average of latency in microseconds; zero until the first reply.
    std::int64_t latency = 0;
    /// Number of replies in the average.
    std::int64_t samples = 0;
    /// Requests at the server, as reported by the server; may be inaccurate.
    int reportedLoad = 0;
    /// Congestion window: estimated number of requests in flight that the server accepts without
    /// shedding, in thousandths. Zero until the first shed reply.
    std::int64_t window = 0;
};

/// Records a reply to an executed request.
void noteReply(ServerHealth &health, Duration latency, int reportedLoad);
/// Records that the server refused a request for overload; halves the window.
void noteServerShed(ServerHealth &health);
/// Records that the server announced that it is leaving, or that the partition map marks it as
/// leaving.
void noteDraining(ServerHealth &health, TimePoint now, const Policy &policy);
/// Records that a connection was lost, could not be opened, or has an overdue reply.
void noteFailure(ServerHealth &health);

/// Whether the server should be ejected: it failed several times in a row, or its latency is
/// several times the typical one of its service.
bool isOutlier(const ServerHealth &health, Duration usualLatency);

/// Whether one more server of a service may be ejected, when `ejected` already are. At least one
/// server is always kept.
bool mayEject(int ejected, int servers, PerMille limit);

/// Ejects the server. Repeated ejections last longer, up to eight times the configured time.
void eject(ServerHealth &health, TimePoint now, const Policy &policy);

[[nodiscard]] bool isEjected(const ServerHealth &health, TimePoint now);
[[nodiscard]] bool isDraining(const ServerHealth &health, TimePoint now);

/// Number of sub-requests that a coordinator may have in flight at the server: its share of the
/// slots plus the pipeline depth, limited by the slow start and the congestion window. At least
/// one.
int concurrencyLimit(const ServerHealth &health, int slots, const Policy &policy, TimePoint now);

} // namespace oleander
