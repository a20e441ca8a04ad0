#include "support/Faults.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::fakes;

// Sessions about single guards which the drawn sessions meet too seldom.

/// The canary of a crashing query goes to a frozen server: the next one must go elsewhere, so that
/// its loss is seen before all are sent. Found by FaultPairs, seed 8819 of its time.
TEST(Guard, AFrozenCanaryDoesNotReleaseACrashingQuery)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        TestFleet fleet(fotolectorShape(), seed);
        fleet.servers().setCrashPayload(std::string(crashPayload));
        fleet.runFor(warmUp);
        fleet.servers().freeze(fleet.server(1));
        Query query = fleet.query("flaw", "crash");
        query.payload = crashPayload;
        fleet.submit(0, query, 2);
        fleet.runFor(milliseconds(900));
        fleet.servers().wake(fleet.server(1));
        fleet.runFor(seconds(3));
        JudgeRules rules;
        rules.crashLimit = 4;
        EXPECT_TRUE(fleet.verdict(rules).empty()) << seed << ": " << fleet.verdict(rules).front();
    }
}

/// A coordinator that was paused blames no server for it: no connection is closed and opened anew.
TEST(Guard, OnesOwnPauseIsNotHeldAgainstServers)
{
    TestFleet fleet(fotolectorShape(), 1);
    fleet.runFor(warmUp);
    const Query query = fleet.query("desk", "photo");
    const int coordinator = coordinatorOf(fleet, 0, query);
    const int opened = fleet.history().acceptedConnections;
    fleet.submit((coordinator + 1) % fleet.daemons(), query);
    fleet.runFor(milliseconds(5));
    // Timers run before the replies that have arrived meanwhile.
    fleet.host(coordinator).freeze(false);
    fleet.runFor(milliseconds(900));
    fleet.host(coordinator).wake();
    fleet.runFor(seconds(2));
    EXPECT_EQ(fleet.history().acceptedConnections, opened);
    EXPECT_TRUE(fleet.verdict({}).empty());
}

/// All replicas of a shard straggle: with Patience::Tail the answer names the shard as missing when
/// the limit has passed; with Patience::Coverage it waits and is whole.
TEST(Guard, PatienceDecidesHowLongToWait)
{
    for (const bool isTail : {true, false}) {
        TestFleet fleet(ammsShape(), 1);
        fleet.runFor(warmUp);
        for (const int server : {1, 2})
            fleet.servers().behaviour(fleet.server(server)).stragglerShare = 1000;
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
        EXPECT_TRUE(fleet.verdict({}).empty());
    }
}
