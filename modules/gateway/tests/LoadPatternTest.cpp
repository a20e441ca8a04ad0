#include "support/LoadDay.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

// Each test names a pattern of load and the share of credit, or of callers served, that it must
// reach. Shares are over several seeds, since one day has few hundred requests of a kind.

namespace {

constexpr Duration changeTime = seconds(3);
/// Time after a change until instances have learned of it.
constexpr Duration measuredFrom = seconds(4);
constexpr Duration measuredUntil = seconds(10);
constexpr Duration lengthOfDay = seconds(14);
constexpr std::uint64_t seeds = 3;

struct PatternFigures
{
    double credit = 0;
    double served = 0;
};

/// Plays the busy day with a change, for each seed.
std::map<std::string, PatternFigures> play(const std::function<void(LoadDay &)> &change,
                                           const LoadShape &shape = busyDay(),
                                           const GatewayPolicy &policy = {})
{
    std::map<std::string, PatternFigures> sums;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LoadDay day(shape, policy, seed);
        day.at(changeTime, [&] { change(day); });
        day.run(lengthOfDay);
        for (const CallerKind &kind : shape.kinds) {
            const LoadFigures figures = day.figures(kind.path, measuredFrom, measuredUntil);
            sums[kind.path].credit += figures.creditShare() / seeds;
            sums[kind.path].served += figures.servedShare() / seeds;
        }
    }
    return sums;
}

TEST(LoadPattern, CalmDayIsServedWhollyAndInTime)
{
    const auto figures = play([](LoadDay &) {});
    EXPECT_GE(figures.at("/search/").credit, 0.95);
    EXPECT_GE(figures.at("/urgent/").credit, 0.90);
    EXPECT_GE(figures.at("/notes/").credit, 0.99);
    EXPECT_GE(figures.at("/search/").served, 0.999);
}

TEST(LoadPattern, FifthOfTheServersSevenTimesAsSlow)
{
    const auto figures = play([](LoadDay &day) {
        for (int service = 0; service < 8; ++service)
            day.servers().conduct(addressOf(service, 0)).slowness = 7;
    });
    // Callers of searches, which are worth most, get more than half of what a calm day gives them.
    EXPECT_GE(figures.at("/search/").credit, 0.5);
    EXPECT_GE(figures.at("/search/").served, 0.99);
    EXPECT_GE(figures.at("/urgent/").served, 0.99);
    EXPECT_GE(figures.at("/notes/").credit, 0.99);
}

TEST(LoadPattern, AllServersOfOneShardDownCostsThatShardOnly)
{
    const auto figures = play([](LoadDay &day) {
        day.servers().crash(addressOf(0, 0));
        day.servers().crash(addressOf(0, 1));
    });
    // One part of twenty is missing: 0.9 of the credit at most.
    EXPECT_GE(figures.at("/search/").credit, 0.75);
    EXPECT_GE(figures.at("/search/").served, 0.99);
    EXPECT_GE(figures.at("/urgent/").credit, 0.7);
}

TEST(LoadPattern, HalfOfTheServersOfAThirdOfTheShardsLost)
{
    const auto figures = play([](LoadDay &day) {
        for (int service = 0; service < 6; ++service)
            day.servers().crash(addressOf(service, 1));
    });
    EXPECT_GE(figures.at("/search/").credit, 0.5);
    EXPECT_GE(figures.at("/search/").served, 0.95);
}

// All servers refuse a quarter of their requests. Parts then need 0.33 extra sendings each, which
// is what the fleet may make: 0.2 for each request and an allowance of 129 in ten seconds.
TEST(LoadPattern, ServersThatRefuseAQuarterOfTheirRequestsAreTriedAgainWithinTheFleetsBudget)
{
    constexpr double fleetsAllowance = 129;
    constexpr double fleetsShare = 0.2;
    LoadShape shape = busyDay();
    GatewayPolicy policy;
    policy.extraAttempts.allowance = fleetsAllowance / shape.instances;
    LoadDay day(shape, policy, 1);
    int arrivedBefore = 0;
    const auto arrivedAtFirstService = [&day] {
        return day.servers().tally(addressOf(0, 0)).arrived
               + day.servers().tally(addressOf(0, 1)).arrived;
    };
    day.at(changeTime, [&] {
        arrivedBefore = arrivedAtFirstService();
        for (int service = 0; service < shape.shards; ++service) {
            for (int server = 0; server < shape.replicas; ++server)
                day.servers().conduct(addressOf(service, server)).refusedShare = 0.25;
        }
    });
    const Duration end = changeTime + policy.extraAttempts.window;
    day.run(end);
    const int arrived = arrivedAtFirstService() - arrivedBefore;
    const int tries =
        day.tries("/search/", changeTime, end) + day.tries("/urgent/", changeTime, end);
    EXPECT_LE(arrived, tries * (1 + fleetsShare) + fleetsAllowance);
    for (const char *path : {"/search/", "/urgent/"})
        EXPECT_GE(day.figures(path, measuredFrom, seconds(9)).servedShare(), 0.95) << path;
}

/// The policy of an instance that knows the size of the large fleet.
GatewayPolicy policyOfLargeFleet(const LoadShape &shape)
{
    constexpr double fleetsAllowance = 260;
    constexpr double partUsed = 0.9;
    GatewayPolicy policy;
    policy.instances = static_cast<int>(shape.instances / partUsed) + 1;
    policy.extraAttempts.allowance = partUsed * fleetsAllowance / shape.instances;
    policy.extraAttempts.randomAllowance = 1;
    return policy;
}

// Each instance asks a server once in a few seconds, so averages over many requests would tell it
// too late which servers are slow.
TEST(LoadPattern, SixthOfTheServersOfALargeFleetSixTimesAsSlow)
{
    const LoadShape shape = largeFleet();
    const auto figures = play(
        [](LoadDay &day) {
            for (int service = 0; service < 42; ++service)
                day.servers().conduct(addressOf(2 * service, service % 3)).slowness = 6.2;
        },
        shape, policyOfLargeFleet(shape));
    EXPECT_GE(figures.at("/search/").credit, 0.85);
    EXPECT_GE(figures.at("/urgent/").credit, 0.9);
}

// A search may lack four shards. Of seven that are slow, as good as all are busy, so whether it is
// in time depends on how few second sendings keep their servers from first ones.
TEST(LoadPattern, AllServersOfSevenShardsOfALargeFleetSlow)
{
    const LoadShape shape = largeFleet();
    const auto figures = play(
        [](LoadDay &day) {
            for (int service = 0; service < 7; ++service) {
                for (int server = 0; server < 3; ++server)
                    day.servers().conduct(addressOf(service, server)).slowness = 6.2;
            }
            for (int service = 10; service < 73; service += 3)
                day.servers().conduct(addressOf(service, service % 3)).slowness = 6.2;
        },
        shape, policyOfLargeFleet(shape));
    EXPECT_GE(figures.at("/search/").credit, 0.25);
    EXPECT_GE(figures.at("/search/").served, 0.99);
    EXPECT_GE(figures.at("/urgent/").credit, 0.8);
}

TEST(LoadPattern, CallersThatLeaveHoldNoServer)
{
    LoadShape shape = busyDay();
    for (CallerKind &kind : shape.kinds)
        kind.retries = 0;
    LoadDay day(shape, {}, 1);
    day.at(changeTime, [&day] {
        for (int service = 0; service < 20; ++service)
            day.servers().conduct(addressOf(service, 0)).isDark = true;
    });
    day.run(lengthOfDay);
    for (int number = 0; number < shape.instances; ++number)
        EXPECT_LE(day.instance(number).gateway.activeCalls(), 60U);
}

} // namespace
