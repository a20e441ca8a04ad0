#pragma once

#include <oleander/core/Units.h>
#include <oleander/gateway/HttpMessage.h>

#include <cstdint>
#include <optional>
#include <span>

namespace oleander::gateway {

/// Health statistics of one server as observed by this instance.
struct ServerScore
{
    /// Latency relative to the typical latency of the same kind of request; moving average as of
    /// the last sample.
    double slowness = 1.0;
    TimePoint slownessUpdatedAt{};
    /// Share of requests that failed, were refused or got no reply; moving average.
    double failureRate = 0;
    /// Failed connection attempts since the last successful one.
    int connectFailures = 0;
    /// Until this time the server is ejected: it gets no requests unless it still has an open
    /// connection, and then very few.
    TimePoint ejectedUntil{};
    /// Until this time the server gets fewer requests because it has just started.
    TimePoint warmUpUntil{};
    /// The server's last load report and the time it arrived.
    std::optional<ReportedLoad> load;
    TimePoint loadReceivedAt{};
};

/// Records a reply with the given latency; `usual` is the typical latency. Samples count more when
/// they are rare, so that a slow server is also detected by an instance that contacts it only every
/// few seconds.
void noteReply(ServerScore &score, Duration latency, Duration usual, TimePoint now);
/// Records that a request was cancelled `elapsed` after it was sent. Its latency would have been
/// higher, so this never lowers the server's slowness.
void noteCancelled(ServerScore &score, Duration elapsed, Duration usual, TimePoint now);
/// Slowness of the server. Decays towards 1 without new samples, so that an avoided server is tried
/// again.
[[nodiscard]] double decayedSlowness(const ServerScore &score, TimePoint now);
/// Records a request that failed or was lost, or was rejected because of load.
void noteFailure(ServerScore &score);
void noteLoad(ServerScore &score, const ReportedLoad &load, TimePoint now);
/// Records a failed connection attempt. Returns how long the server is ejected.
Duration noteConnectFailure(ServerScore &score, TimePoint now);
void noteConnected(ServerScore &score);

/// A server that could receive a request.
struct ServerCandidate
{
    /// Index that is returned if this candidate is chosen.
    std::size_t index = 0;
    const ServerScore *score = nullptr;
    /// Requests of this instance in flight to the server.
    int inFlight = 0;
    /// Age of the oldest of these requests relative to the typical latency.
    double oldestRelativeAge = 0;
    /// True when the server is in the data centre of this instance.
    bool isLocal = false;
};

/// Relative weight of a candidate in the random selection.
[[nodiscard]] double selectionWeight(const ServerCandidate &candidate, TimePoint now);

/// Queued requests per slot in the server's last load report; decreases with the age of the report.
[[nodiscard]] double reportedQueue(const ServerScore &score, TimePoint now);

/// How long work takes on the server relative to normal, as it has stated. Approaches 1 with the
/// age of the statement; nothing without one.
[[nodiscard]] std::optional<double> statedPace(const ServerScore &score, TimePoint now);

/// Chooses a candidate at random in proportion to the weights, so that instances with the same
/// information do not all select the same server. Nothing if there are no candidates.
[[nodiscard]] std::optional<std::size_t> chooseServer(std::span<const ServerCandidate> candidates,
                                                      TimePoint now, std::uint64_t random);

} // namespace oleander::gateway
