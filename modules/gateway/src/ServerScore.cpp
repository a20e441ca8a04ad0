#include "Ratio.h"

#include <oleander/decisions/request/ServerRoom.h>
#include <oleander/gateway/ServerScore.h>
#include <oleander/ports/RandomSource.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace oleander::gateway {

namespace {

/// Minimum weight of a new sample in the moving averages.
constexpr double minimumSampleWeight = 0.2;
/// Maximum weight of a latency sample, because a single request may be slow on a healthy server.
constexpr double maximumSampleWeight = 0.9;
/// Time constant with which earlier latency samples lose weight relative to a new one.
constexpr Duration sampleTimeConstant = seconds(1);
/// Time constant with which slowness decays without new samples.
constexpr Duration slownessTimeConstant = seconds(10);
/// Upper limit of a sample relative to the typical latency.
constexpr double maximumSlowness = 12.0;
constexpr double minimumSlowness = 0.3;
/// Exponent of slowness in the selection weight. With a lower exponent, a server eight times as
/// slow as an otherwise equal one would get more requests than it can answer in time.
constexpr double slownessExponent = 4.0;
/// A server is considered stalled when a request has no reply for this multiple of the typical
/// latency.
constexpr double stalledRelativeAge = 3.0;
/// Weight factor for a stalled server.
constexpr double stalledWeight = 0.02;
/// Weight factor for a server in the same data centre, because traffic between data centres has a
/// cost.
constexpr double localWeight = 20.0;
/// Weight factor for an ejected server that still has an open connection.
constexpr double ejectedWeight = 0.0005;
/// Weight factor for a server that has just started.
constexpr double warmUpWeight = 0.4;
/// Lower limit of the weight factor for failures, so that a failing server is still tried
/// occasionally.
constexpr double minimumSuccessWeight = 0.02;
constexpr Duration initialEjection = milliseconds(250);
constexpr Duration maximumEjection = seconds(2);
/// Limits the growth of the ejection time, which starts short because a single failure may only
/// mean that the server has reached its connection limit.
constexpr int maximumDoublings = 4;

double movingAverage(double average, double sample)
{
    return average + minimumSampleWeight * (sample - average);
}

void noteSlowness(ServerScore &score, double relative, TimePoint now)
{
    const double sampleShare =
        1.0 - std::exp(-ratio(now - score.slownessUpdatedAt, sampleTimeConstant));
    const double weight = std::clamp(sampleShare, minimumSampleWeight, maximumSampleWeight);
    const double previous = decayedSlowness(score, now);
    const double sample = std::clamp(relative, minimumSlowness, maximumSlowness);
    score.slowness = previous + weight * (sample - previous);
    score.slownessUpdatedAt = now;
}

} // namespace

void noteReply(ServerScore &score, Duration latency, Duration usual, TimePoint now)
{
    score.failureRate = movingAverage(score.failureRate, 0);
    if (usual > Duration{})
        noteSlowness(score, ratio(latency, usual), now);
}

void noteCancelled(ServerScore &score, Duration elapsed, Duration usual, TimePoint now)
{
    if (usual <= Duration{})
        return;
    const double minimumRelative = ratio(elapsed, usual);
    if (minimumRelative > decayedSlowness(score, now))
        noteSlowness(score, minimumRelative, now);
}

double decayedSlowness(const ServerScore &score, TimePoint now)
{
    return 1.0
           + (score.slowness - 1.0)
                 * std::exp(-ratio(now - score.slownessUpdatedAt, slownessTimeConstant));
}

void noteFailure(ServerScore &score)
{
    score.failureRate = movingAverage(score.failureRate, 1);
}

void noteLoad(ServerScore &score, const ReportedLoad &load, TimePoint now)
{
    score.load = load;
    score.loadReceivedAt = now;
}

Duration noteConnectFailure(ServerScore &score, TimePoint now)
{
    ++score.connectFailures;
    const int doublings = std::min(score.connectFailures - 1, maximumDoublings);
    const Duration ejectionTime = std::min(maximumEjection, initialEjection * (1 << doublings));
    score.ejectedUntil = now + ejectionTime;
    return ejectionTime;
}

void noteConnected(ServerScore &score)
{
    score.connectFailures = 0;
    score.ejectedUntil = {};
}

double reportedQueue(const ServerScore &score, TimePoint now)
{
    if (!score.load || score.load->slots <= 0)
        return 0;
    return reportFreshness(now - score.loadReceivedAt) * score.load->waiting / score.load->slots;
}

std::optional<double> statedPace(const ServerScore &score, TimePoint now)
{
    if (!score.load || !score.load->pace)
        return std::nullopt;
    return 1.0 + reportFreshness(now - score.loadReceivedAt) * (*score.load->pace - 1.0);
}

double selectionWeight(const ServerCandidate &candidate, TimePoint now)
{
    const ServerScore &score = *candidate.score;
    const double measured = decayedSlowness(score, now);
    // The measured latencies contain the pace, but follow its changes only slowly.
    const double slowness = std::max(measured, statedPace(score, now).value_or(measured));
    double weight = std::pow(slowness, -slownessExponent);
    const double queue = candidate.inFlight + reportedQueue(score, now);
    weight /= (1.0 + queue) * (1.0 + queue);
    const double successRate = 1.0 - score.failureRate;
    weight *= std::max(minimumSuccessWeight, successRate * successRate * successRate);
    if (candidate.isLocal)
        weight *= localWeight;
    if (candidate.oldestRelativeAge > stalledRelativeAge)
        weight *= stalledWeight;
    if (now < score.warmUpUntil)
        weight *= warmUpWeight;
    if (now < score.ejectedUntil)
        weight *= ejectedWeight;
    return weight;
}

std::optional<std::size_t> chooseServer(std::span<const ServerCandidate> candidates, TimePoint now,
                                        std::uint64_t random)
{
    if (candidates.empty())
        return std::nullopt;
    if (candidates.size() == 1)
        return candidates.front().index;
    std::vector<double> cumulativeWeights;
    cumulativeWeights.reserve(candidates.size());
    double sum = 0;
    for (const ServerCandidate &candidate : candidates)
        cumulativeWeights.push_back(sum += selectionWeight(candidate, now));
    const double target = unitInterval(random) * sum;
    const auto chosen = std::ranges::upper_bound(cumulativeWeights, target);
    const auto position = std::min<std::size_t>(
        static_cast<std::size_t>(chosen - cumulativeWeights.begin()), candidates.size() - 1);
    return candidates[position].index;
}

} // namespace oleander::gateway
