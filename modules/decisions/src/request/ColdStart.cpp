#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/request/ColdStart.h>

#include <algorithm>
#include <cmath>

namespace oleander {

namespace {

/// The bound of the platform: this many times the accepted rate, and a few requests more.
constexpr double boundFactor = 1.5;
constexpr double boundExtra = 5;
/// Part of the accepted rate that is used. With the quarter of a second's tokens that RateLimit
/// saves, a sender sends its whole share of the accepted rate in a second at most, beside one saved
/// request. The rest of the bound is room for requests that the network delays.
constexpr double usedRate = 0.8;
/// Part of the accepted rate that may be used for saved requests, beside the extra ones.
constexpr double savedRate = 0.25;
/// Senders for which room is kept that is not given to known ones: instances whose list of
/// candidates is old or their own.
constexpr int unknownSenders = 2;
/// The rate is divided by this number at least, so that the few instances of a group that is cut
/// off and knows no others take a quarter of it together at most, which the bound has room for.
constexpr int minimumSenders = 8;
/// Longest list of senders, to stay within the range of an int; fleets are far smaller.
constexpr double maximumPlaces = 100'000;
/// Instances that are assumed while their number is not known: more than any fleet has.
constexpr int assumedInstances = 1000;
/// Senders and other instances each ask a server twice a second, together: less than any cold
/// server accepts.
constexpr Duration probeSpacing = milliseconds(500);
/// After its cold time a server gets a quarter of its usual requests, and a quarter more each
/// second: its caches fill with the requests that it gets.
constexpr int returnSteps = 4;
constexpr Duration returnStep = seconds(1);

/// Senders whose saved requests and rates fit into the bound.
int places(double perSecond)
{
    return static_cast<int>(
        std::min(maximumPlaces, std::floor(boundExtra + savedRate * perSecond)));
}

/// Number by which the rate is divided when so many known instances send.
int divisor(int known, double perSecond)
{
    return std::min(places(perSecond), std::max(known + unknownSenders, minimumSenders));
}

} // namespace

double coldStartBound(double perSecond)
{
    return boundFactor * perSecond + boundExtra;
}

double coldStartRate(double perSecond)
{
    return usedRate * perSecond;
}

ColdStartShare coldStartShare(const ColdStartRules &rules, const ColdStartFleet &fleet,
                              const ServerId &server)
{
    const int knownPlaces = places(rules.perSecond) - unknownSenders;
    const int instances = std::max(1, fleet.instances.value_or(assumedInstances));
    ColdStartShare share{0, instances * probeSpacing};
    if (instances <= knownPlaces) {
        share.senders = divisor(instances, rules.perSecond);
        return share;
    }
    if (std::ranges::find(fleet.candidates, fleet.self) == fleet.candidates.end())
        return share;
    const auto score = [&server](const InstanceId &candidate) {
        return rendezvousScore(server.text(), candidate.text());
    };
    const std::uint64_t own = score(fleet.self);
    const auto before = std::ranges::count_if(
        fleet.candidates, [&](const InstanceId &candidate) { return score(candidate) > own; });
    if (before >= knownPlaces)
        return share;
    share.senders =
        divisor(std::min(static_cast<int>(fleet.candidates.size()), knownPlaces), rules.perSecond);
    share.probePeriod = share.senders * probeSpacing;
    return share;
}

double shareAfterColdStart(Duration sinceEnd)
{
    const auto steps = 1 + std::max(Duration{}, sinceEnd) / returnStep;
    return std::min(1.0, static_cast<double>(steps) / returnSteps);
}

} // namespace oleander
