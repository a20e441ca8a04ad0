#include "support/LoadSimulation.h"

#include <gtest/gtest.h>

#include <sstream>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

// Each test simulates a pattern of load or failure, and states the mean credit of a request, or the
// fraction of requests served, that the gateway must reach. Results are means over several seeds,
// since one simulation has only a few hundred requests of a stream.

namespace {

constexpr Duration changeTime = seconds(3);
/// Requests are measured from one second after the change, when instances have detected it.
constexpr Duration measuredFrom = seconds(4);
constexpr Duration measuredUntil = seconds(10);
constexpr Duration simulationLength = seconds(14);
constexpr std::uint64_t seeds = 3;

struct MeanResults
{
    double credit = 0;
    double servedShare = 0;
};

/// Runs a simulation with each seed, applies `change` at `changeTime`, and returns the mean results
/// by path.
std::map<std::string, MeanResults>
runSimulations(const std::function<void(LoadSimulation &)> &change,
               const LoadProfile &profile = smallDeployment(), const GatewayPolicy &policy = {})
{
    std::map<std::string, MeanResults> sums;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LoadSimulation simulation(profile, policy, seed);
        simulation.scheduleChange(changeTime, [&] { change(simulation); });
        simulation.run(simulationLength);
        for (const RequestStream &stream : profile.streams) {
            const LoadResults results =
                simulation.results(stream.path, measuredFrom, measuredUntil);
            sums[stream.path].credit += results.meanCredit() / seeds;
            sums[stream.path].servedShare += results.servedShare() / seeds;
        }
    }
    return sums;
}

TEST(LoadPattern, AllRequestsAreServedInTimeWithoutFailures)
{
    const auto results = runSimulations([](LoadSimulation &) {});
    EXPECT_GE(results.at("/search/").credit, 0.95);
    EXPECT_GE(results.at("/urgent/").credit, 0.90);
    EXPECT_GE(results.at("/notes/").credit, 0.99);
    EXPECT_GE(results.at("/search/").servedShare, 0.999);
}

TEST(LoadPattern, OneFifthOfTheServersSevenTimesSlower)
{
    const auto results = runSimulations([](LoadSimulation &simulation) {
        for (int service = 0; service < 8; ++service)
            simulation.servers().behaviour(addressOf(service, 0)).slowdown = 7;
    });
    // Searches, the most valuable requests, must reach more than half of their credit without
    // failures.
    EXPECT_GE(results.at("/search/").credit, 0.5);
    EXPECT_GE(results.at("/search/").servedShare, 0.99);
    EXPECT_GE(results.at("/urgent/").servedShare, 0.99);
    EXPECT_GE(results.at("/notes/").credit, 0.99);
}

TEST(LoadPattern, AllServersOfOneShardDownAffectsOnlyThatShard)
{
    const auto results = runSimulations([](LoadSimulation &simulation) {
        simulation.servers().crash(addressOf(0, 0));
        simulation.servers().crash(addressOf(0, 1));
    });
    // Answers lack one shard of twenty, so the credit is at most 0.95 squared, which is about 0.9.
    EXPECT_GE(results.at("/search/").credit, 0.75);
    EXPECT_GE(results.at("/search/").servedShare, 0.99);
    EXPECT_GE(results.at("/urgent/").credit, 0.7);
}

TEST(LoadPattern, HalfOfTheServersOfOneThirdOfTheShardsDown)
{
    const auto results = runSimulations([](LoadSimulation &simulation) {
        for (int service = 0; service < 6; ++service)
            simulation.servers().crash(addressOf(service, 1));
    });
    EXPECT_GE(results.at("/search/").credit, 0.5);
    EXPECT_GE(results.at("/search/").servedShare, 0.95);
}

// All servers refuse a quarter of their requests, so each part needs 0.33 extra attempts on
// average. This uses up the fleet's budget: 0.2 extra attempts per request, and 129 more in ten
// seconds.
TEST(LoadPattern, RetriesOfRefusedRequestsStayWithinTheFleetBudget)
{
    constexpr double fleetAllowance = 129;
    constexpr double fleetShare = 0.2;
    LoadProfile profile = smallDeployment();
    GatewayPolicy policy;
    policy.extraAttempts.allowance = fleetAllowance / profile.instances;
    LoadSimulation simulation(profile, policy, 1);
    int arrivedBefore = 0;
    const auto arrivedAtFirstShard = [&simulation] {
        return simulation.servers().counters(addressOf(0, 0)).arrived
               + simulation.servers().counters(addressOf(0, 1)).arrived;
    };
    simulation.scheduleChange(changeTime, [&] {
        arrivedBefore = arrivedAtFirstShard();
        for (int service = 0; service < profile.shards; ++service) {
            for (int server = 0; server < profile.replicas; ++server)
                simulation.servers().behaviour(addressOf(service, server)).refusalRate = 0.25;
        }
    });
    const Duration end = changeTime + policy.extraAttempts.window;
    simulation.run(end);
    const int arrived = arrivedAtFirstShard() - arrivedBefore;
    const int attempts = simulation.attempts("/search/", changeTime, end)
                         + simulation.attempts("/urgent/", changeTime, end);
    EXPECT_LE(arrived, attempts * (1 + fleetShare) + fleetAllowance);
    for (const char *path : {"/search/", "/urgent/"})
        EXPECT_GE(simulation.results(path, measuredFrom, seconds(9)).servedShare(), 0.95) << path;
}

/// The policy of an instance that knows the number of instances of the large deployment.
GatewayPolicy largeDeploymentPolicy(const LoadProfile &profile)
{
    constexpr double fleetAllowance = 260;
    constexpr double usedFraction = 0.9;
    GatewayPolicy policy;
    policy.instances = static_cast<int>(profile.instances / usedFraction) + 1;
    policy.extraAttempts.allowance = usedFraction * fleetAllowance / profile.instances;
    policy.extraAttempts.randomAllowance = 1;
    return policy;
}

// Each instance sends a server only one request in a few seconds, so averages over many requests
// would detect slow servers too late.
TEST(LoadPattern, OneSixthOfTheServersOfALargeDeploymentSixTimesSlower)
{
    const LoadProfile profile = largeDeployment();
    const auto results = runSimulations(
        [](LoadSimulation &simulation) {
            for (int service = 0; service < 42; ++service)
                simulation.servers().behaviour(addressOf(2 * service, service % 3)).slowdown = 6.2;
        },
        profile, largeDeploymentPolicy(profile));
    EXPECT_GE(results.at("/search/").credit, 0.85);
    EXPECT_GE(results.at("/urgent/").credit, 0.9);
}

// A search may lack four shards, but the servers of seven are slow and nearly always busy. Whether
// searches are in time depends on how few hedges take slots of these servers from first attempts.
TEST(LoadPattern, AllServersOfSevenShardsOfALargeDeploymentSlow)
{
    const LoadProfile profile = largeDeployment();
    const auto results = runSimulations(
        [](LoadSimulation &simulation) {
            for (int service = 0; service < 7; ++service) {
                for (int server = 0; server < 3; ++server)
                    simulation.servers().behaviour(addressOf(service, server)).slowdown = 6.2;
            }
            for (int service = 10; service < 73; service += 3)
                simulation.servers().behaviour(addressOf(service, service % 3)).slowdown = 6.2;
        },
        profile, largeDeploymentPolicy(profile));
    EXPECT_GE(results.at("/search/").credit, 0.25);
    EXPECT_GE(results.at("/search/").servedShare, 0.99);
    EXPECT_GE(results.at("/urgent/").credit, 0.8);
}

/// The policy of an instance of the coordinated deployment.
GatewayPolicy coordinatedDeploymentPolicy(const LoadProfile &profile)
{
    constexpr double fleetAllowance = 630;
    constexpr double usedFraction = 0.9;
    GatewayPolicy policy = largeDeploymentPolicy(profile);
    policy.extraAttempts.allowance = usedFraction * fleetAllowance / profile.instances;
    policy.fleetExtraAllowance = usedFraction * fleetAllowance;
    return policy;
}

// Each instance runs a gathered request only each nine seconds, and would meet the slow servers as
// if for the first time.
TEST(LoadPattern, SlowServersOfManyShardsAreKnownToCoordinators)
{
    const LoadProfile profile = coordinatedDeployment();
    const auto results = runSimulations(
        [](LoadSimulation &simulation) {
            for (int number = 0; number < 83; ++number) {
                simulation.servers().behaviour(addressOf(2 * number, number % 3)).slowdown = 7.1;
            }
        },
        profile, coordinatedDeploymentPolicy(profile));
    EXPECT_GE(results.at("/search/").credit, 0.8);
    EXPECT_GE(results.at("/urgent/").credit, 0.8);
    EXPECT_GE(results.at("/search/").servedShare, 0.99);
}

// Requests in progress at a killed coordinator are executed again, and later ones go elsewhere.
TEST(LoadPattern, TwoThirdsOfTheCoordinatorsAreKilled)
{
    const LoadProfile profile = coordinatedDeployment();
    const auto results = runSimulations(
        [](LoadSimulation &simulation) {
            for (int number = 0; number < 10; ++number)
                simulation.kill(number);
        },
        profile, coordinatedDeploymentPolicy(profile));
    EXPECT_GE(results.at("/search/").credit, 0.8);
    EXPECT_GE(results.at("/urgent/").credit, 0.8);
    EXPECT_GE(results.at("/search/").servedShare, 0.99);
}

TEST(LoadPattern, CallsOfDisconnectedCallersDoNotAccumulate)
{
    LoadProfile profile = smallDeployment();
    for (RequestStream &stream : profile.streams)
        stream.retries = 0;
    LoadSimulation simulation(profile, {}, 1);
    simulation.scheduleChange(changeTime, [&simulation] {
        for (int service = 0; service < 20; ++service)
            simulation.servers().behaviour(addressOf(service, 0)).isUnresponsive = true;
    });
    simulation.run(simulationLength);
    for (int number = 0; number < profile.instances; ++number)
        EXPECT_LE(simulation.instance(number).gateway.activeCalls(), 60U);
}

/// The rule for servers that limit the rate: from this time after a limit was stated, at most so
/// many times what it allows in any window, and a few requests more.
constexpr Duration limitSettleTime = seconds(4);
constexpr Duration limitWindow = seconds(4);
constexpr double limitFactor = 1.5;
constexpr int limitSlack = 5;

/// The largest number of requests in one window that the server got while the limit was settled,
/// divided by the permitted number.
double limitUse(LoadSimulation &simulation, const Address &address, TimePoint from, double limit)
{
    const auto &arrivals = simulation.servers().counters(address).arrivalTimes;
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (*first < from)
            continue;
        const auto end = std::lower_bound(first, arrivals.end(), *first + limitWindow);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    const double permitted =
        limitFactor * limit * std::chrono::duration<double>(limitWindow).count() + limitSlack;
    return static_cast<double>(most) / permitted;
}

/// Lets servers state half of the rate that they usually get, and expects that none gets more.
void expectLimitsKept(const LoadProfile &profile, const std::vector<std::pair<int, int>> &limited,
                      double limit, double searchCredit, double searchServed)
{
    double credit = 0;
    double served = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LoadSimulation simulation(profile, {}, seed);
        TimePoint stated;
        simulation.scheduleChange(changeTime, [&] {
            stated = simulation.scheduler().now();
            for (const auto &[service, server] : limited)
                simulation.servers().behaviour(addressOf(service, server)).rateLimit = limit;
        });
        simulation.run(simulationLength);
        for (const auto &[service, server] : limited) {
            const double use =
                limitUse(simulation, addressOf(service, server), stated + limitSettleTime, limit);
            EXPECT_LE(use, 1) << "server " << server << " of service " << service;
            EXPECT_GE(use, 0.3) << "the server's rate is not used";
        }
        const LoadResults results =
            simulation.results(profile.streams.front().path, measuredFrom, measuredUntil);
        credit += results.meanCredit() / seeds;
        served += results.servedShare() / seeds;
    }
    EXPECT_GE(credit, searchCredit);
    EXPECT_GE(served, searchServed);
}

// Guards against sending a server more requests than the rate that it states in its replies.
TEST(LoadPattern, ServerThatStatesARateGetsNoMoreFromAllInstancesTogether)
{
    expectLimitsKept(smallDeployment(), {{0, 0}}, 24, 0.9, 0.999);
}

TEST(LoadPattern, ServersOfManyShardsThatStateARateGetNoMore)
{
    constexpr int limitedShards = 14;
    std::vector<std::pair<int, int>> limited;
    limited.reserve(limitedShards);
    for (int service = 0; service < limitedShards; ++service)
        limited.emplace_back(service, service % 2);
    // The other server of these shards is offered 90 requests a second, which occupy its slots
    // fully.
    expectLimitsKept(smallDeployment(), limited, 24, 0.3, 0.99);
}

TEST(LoadPattern, BothServersOfAShardThatStateARateGetNoMore)
{
    expectLimitsKept(smallDeployment(), {{0, 0}, {0, 1}}, 24, 0.8, 0.99);
}

TEST(LoadPattern, ServersThatStateARateGetNoMoreFromAFleetOfManyInstances)
{
    expectLimitsKept(largeDeployment(), {{0, 0}, {1, 1}, {2, 2}, {3, 0}}, 15, 0.5, 0.99);
}

/// Shares of the requests of the prioritized deployment that were answered in time, by path.
struct InTimeShares
{
    double urgent = 0;
    double search = 0;
};

/// Runs the prioritized deployment with each seed and applies `change` at `changeTime`.
InTimeShares runPrioritized(const std::function<void(LoadSimulation &, std::mt19937_64 &)> &change)
{
    constexpr Duration length = seconds(11);
    const LoadProfile profile = prioritizedDeployment();
    InTimeShares shares;
    std::ostringstream summary;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LoadSimulation simulation(profile, coordinatedDeploymentPolicy(profile), seed);
        std::mt19937_64 random(seed);
        simulation.scheduleChange(changeTime, [&] { change(simulation, random); });
        simulation.run(length + seconds(3));
        for (const RequestStream &stream : profile.streams) {
            const LoadResults results = simulation.results(stream.path, measuredFrom, length);
            summary << stream.path << ": " << results.sent << " sent, " << results.inTime
                    << " in time, " << results.late << " late, " << results.refused << " refused, "
                    << results.failed << " failed; ";
        }
        const LoadResults urgent = simulation.results("/urgent/", measuredFrom, length);
        const LoadResults search = simulation.results("/search/", measuredFrom, length);
        shares.urgent += static_cast<double>(urgent.inTime) / urgent.sent / seeds;
        shares.search += static_cast<double>(search.inTime) / search.sent / seeds;
    }
    ::testing::Test::RecordProperty("results", summary.str());
    return shares;
}

/// Makes a fraction of the servers of shards slower by `factor`.
void slowDown(LoadSimulation &simulation, std::mt19937_64 &random, double fraction, double factor)
{
    std::uniform_real_distribution<double> draw(0, 1);
    for (int service = 0; service < simulation.profile().shards; ++service) {
        for (int server = 0; server < simulation.profile().replicas; ++server) {
            if (draw(random) < fraction)
                simulation.servers().behaviour(addressOf(service, server)).slowdown = factor;
        }
    }
}

// Guards against urgent requests that wait in the servers' queues behind searches.
TEST(LoadPattern, BurstOfFourOfAllRequestsWithThreeInTenServersFiveTimesSlower)
{
    const InTimeShares shares = runPrioritized([](LoadSimulation &simulation, auto &random) {
        for (const RequestStream &stream : simulation.profile().streams)
            simulation.setLoad(stream.path, 4);
        slowDown(simulation, random, 0.3, 5);
    });
    EXPECT_GE(shares.urgent, 0.95);
    // As many as if nothing were held back or refused.
    EXPECT_GE(shares.search, 0.10);
}

TEST(LoadPattern, BurstOfSixOfTheSearches)
{
    const InTimeShares shares = runPrioritized(
        [](LoadSimulation &simulation, auto &) { simulation.setLoad("/search/", 6); });
    EXPECT_GE(shares.urgent, 0.95);
    EXPECT_GE(shares.search, 0.99);
}

TEST(LoadPattern, BurstOfSixWithNearlyHalfOfTheServersTenTimesSlowerAndCallersLeaving)
{
    const InTimeShares shares = runPrioritized([](LoadSimulation &simulation, auto &random) {
        for (const RequestStream &stream : simulation.profile().streams)
            simulation.setLoad(stream.path, stream.path == "/search/" ? 6 : 1, 0.3);
        slowDown(simulation, random, 0.45, 10);
    });
    // An urgent request may lack 13 shards. All servers of 7 or 8 are slow, and others pause.
    EXPECT_GE(shares.urgent, 0.95);
}

// The same deployment without a burst.
TEST(LoadPattern, PrioritizedDeploymentWithoutFailures)
{
    const InTimeShares shares = runPrioritized([](LoadSimulation &, auto &) {});
    EXPECT_GE(shares.urgent, 0.95);
    EXPECT_GE(shares.search, 0.95);
}

} // namespace
