#include "support/Faults.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::fakes;

// Tests of protections that the random sessions of FaultPairs exercise too rarely.

/// The canary of a crashing query goes to a frozen server. The next canary must go to another
/// server, so that its loss is noticed before all sub-requests are sent. FaultPairs found this
/// fault with seed 8819 of an earlier version.
TEST(Protection, CrashingQueryIsHeldBackWhileItsCanaryIsFrozen)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        TestFleet fleet(fotolectorOptions(), seed);
        fleet.servers().setCrashPayload(std::string(crashPayload));
        fleet.runFor(warmUpTime);
        fleet.servers().freeze(fleet.server(1));
        Query query = fleet.query("flaw", "crash");
        query.payload = crashPayload;
        fleet.submit(0, query, 2);
        fleet.runFor(milliseconds(900));
        fleet.servers().wake(fleet.server(1));
        fleet.runFor(seconds(3));
        CheckOptions checkOptions;
        checkOptions.maximumCrashedServers = 4;
        EXPECT_TRUE(fleet.checkHistory(checkOptions).empty())
            << seed << ": " << fleet.checkHistory(checkOptions).front();
    }
}

/// A coordinator must not attribute the effects of its own pause to servers: it must not replace
/// any connection.
TEST(Protection, PausedCoordinatorKeepsItsServerConnections)
{
    TestFleet fleet(fotolectorOptions(), 1);
    fleet.runFor(warmUpTime);
    const Query query = fleet.query("desk", "photo");
    const int coordinator = coordinatorOf(fleet, 0, query);
    const int opened = fleet.history().acceptedConnections;
    fleet.submit((coordinator + 1) % fleet.daemons(), query);
    fleet.runFor(milliseconds(5));
    // Timers run before the replies that arrived during the freeze.
    fleet.process(coordinator).freeze(false);
    fleet.runFor(milliseconds(900));
    fleet.process(coordinator).wake();
    fleet.runFor(seconds(2));
    EXPECT_EQ(fleet.history().acceptedConnections, opened);
    EXPECT_TRUE(fleet.checkHistory({}).empty());
}

/// All replicas of a shard are slow. With Patience::Tail, the answer lists the shard as missing
/// after the tail limit; with Patience::Coverage, the answer comes later and is complete.
TEST(Protection, PatiencePolicyDecidesBetweenPartialAndLateAnswer)
{
    for (const bool isTail : {true, false}) {
        TestFleet fleet(ammsOptions(), 1);
        fleet.runFor(warmUpTime);
        for (const int server : {1, 2})
            fleet.servers().behaviour(fleet.server(server)).stragglersPerThousand = 1000;
        Query query = fleet.query("studio", "tracks");
        query.patience = isTail ? Patience::Tail : Patience::Coverage;
        query.deadline = milliseconds(900);
        const Submission &sent = fleet.submit(0, query);
        fleet.runFor(seconds(1));
        ASSERT_TRUE(sent.answer);
        EXPECT_EQ(sent.answer->outcome, isTail ? Outcome::Partial : Outcome::Answered);
        if (isTail) {
            EXPECT_LE(sent.answeredAt - sent.at, milliseconds(70));
        }
        EXPECT_TRUE(fleet.checkHistory({}).empty());
    }
}
