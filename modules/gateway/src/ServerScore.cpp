#include "Ratio.h"

#include <oleander/gateway/ServerScore.h>
#include <oleander/ports/RandomSource.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace oleander::gateway {

namespace {

/// Least weight of a new sample in the moving averages.
constexpr double sampleWeight = 0.2;
/// Greatest weight of a sample of latency. One request may be slow at a server that is not.
constexpr double rareSampleWeight = 0.9;
/// Beside a new sample of latency, those before it lose weight with this time constant.
constexpr Duration sampleLife = seconds(1);
/// Without new samples, slowness fades with this time constant.
constexpr Duration slownessFade = seconds(10);
/// One reply moves the average by no more than this multiple of what is usual.
constexpr double largestSlowness = 12.0;
constexpr double smallestSlowness = 0.3;
/// How strongly a slow server is avoided. A server eight times as slow as its twin would else draw
/// more than it can answer in time.
constexpr double slownessExponent = 4.0;
/// A request without a reply for this multiple of the usual latency shows that a server stands
/// still.
constexpr double stalledAge = 3.0;
/// Preference for a server that stands still, relative to one that answers.
constexpr double stalledPreference = 0.02;
/// Preference for a server in the same data centre, since bytes between data centres cost.
constexpr double nearPreference = 20.0;
/// Preference for a server that is avoided.
constexpr double avoidedPreference = 0.0005;
/// Preference for a server that has just started.
constexpr double warmingPreference = 0.4;
/// Smallest preference for the failures of a server, so that it is tried again now and then.
constexpr double smallestTrust = 0.02;
/// A load report says something for this long.
constexpr Duration loadLife = milliseconds(600);
constexpr Duration firstAvoidance = milliseconds(250);
constexpr Duration longestAvoidance = seconds(2);
/// An opening that fails once may be a full server, so it alone is no reason to avoid it.
constexpr int longestDoubling = 4;

double towards(double average, double sample)
{
    return average + sampleWeight * (sample - average);
}

void noteSlowness(ServerScore &score, double relative, TimePoint now)
{
    const double faded = 1.0 - std::exp(-ratio(now - score.slownessSeen, sampleLife));
    const double weight = std::clamp(faded, sampleWeight, rareSampleWeight);
    const double before = slownessNow(score, now);
    const double sample = std::clamp(relative, smallestSlowness, largestSlowness);
    score.slowness = before + weight * (sample - before);
    score.slownessSeen = now;
}

} // namespace

void noteReply(ServerScore &score, Duration latency, Duration usual, TimePoint now)
{
    score.failureShare = towards(score.failureShare, 0);
    if (usual > Duration{})
        noteSlowness(score, ratio(latency, usual), now);
}

void noteStopped(ServerScore &score, Duration elapsed, Duration usual, TimePoint now)
{
    if (usual <= Duration{})
        return;
    const double atLeast = ratio(elapsed, usual);
    if (atLeast > slownessNow(score, now))
        noteSlowness(score, atLeast, now);
}

double slownessNow(const ServerScore &score, TimePoint now)
{
    return 1.0 + (score.slowness - 1.0) * std::exp(-ratio(now - score.slownessSeen, slownessFade));
}

void noteFailure(ServerScore &score)
{
    score.failureShare = towards(score.failureShare, 1);
}

void noteLoad(ServerScore &score, const ReportedLoad &load, TimePoint now)
{
    score.load = load;
    score.loadSeen = now;
}

Duration noteFailedOpening(ServerScore &score, TimePoint now)
{
    ++score.failedOpenings;
    const int doublings = std::min(score.failedOpenings - 1, longestDoubling);
    const Duration avoided = std::min(longestAvoidance, firstAvoidance * (1 << doublings));
    score.avoidUntil = now + avoided;
    return avoided;
}

void noteOpened(ServerScore &score)
{
    score.failedOpenings = 0;
    score.avoidUntil = {};
}

double reportedQueue(const ServerScore &score, TimePoint now)
{
    if (!score.load || now - score.loadSeen > loadLife || score.load->slots <= 0)
        return 0;
    const double freshness = 1.0 - ratio(now - score.loadSeen, loadLife);
    return freshness * score.load->waiting / score.load->slots;
}

double preferenceFor(const ServerCandidate &candidate, TimePoint now)
{
    const ServerScore &score = *candidate.score;
    double preference = std::pow(slownessNow(score, now), -slownessExponent);
    const double queue = candidate.inFlight + reportedQueue(score, now);
    preference /= (1.0 + queue) * (1.0 + queue);
    const double trust = 1.0 - score.failureShare;
    preference *= std::max(smallestTrust, trust * trust * trust);
    if (candidate.isNear)
        preference *= nearPreference;
    if (candidate.oldestAge > stalledAge)
        preference *= stalledPreference;
    if (now < score.warmUntil)
        preference *= warmingPreference;
    if (now < score.avoidUntil)
        preference *= avoidedPreference;
    return preference;
}

std::optional<std::size_t> chooseServer(std::span<const ServerCandidate> candidates, TimePoint now,
                                        std::uint64_t random)
{
    if (candidates.empty())
        return std::nullopt;
    if (candidates.size() == 1)
        return candidates.front().index;
    std::vector<double> sums;
    sums.reserve(candidates.size());
    double sum = 0;
    for (const ServerCandidate &candidate : candidates)
        sums.push_back(sum += preferenceFor(candidate, now));
    const double point = unitInterval(random) * sum;
    const auto chosen = std::ranges::upper_bound(sums, point);
    const auto position = std::min<std::size_t>(static_cast<std::size_t>(chosen - sums.begin()),
                                                candidates.size() - 1);
    return candidates[position].index;
}

} // namespace oleander::gateway
