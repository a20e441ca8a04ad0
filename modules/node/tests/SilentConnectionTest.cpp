#include "support/Faults.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::fakes;

// All connections to both replicas of a shard stop carrying data while they are busy. No idle
// connection can be closed to make room for the new connection that tells a dead connection from a
// slow server.
TEST(SilentConnection, BusyConnectionsOfAShardAreReplacedAndAnswersAreCompleteAgain)
{
    TestFleet fleet(ammsOptions(), 7);
    fleet.runFor(warmUpTime);
    const Shard &shard = fleet.view(0)->partitions.begin()->second->shards.front();
    for (const ServerId &server : shard.replicas)
        fleet.servers().silenceConnections(server);
    for (int number = 0; number < 60; ++number) {
        fleet.submit(0, fleet.query("studio", "during-" + std::to_string(number)));
        fleet.runFor(milliseconds(5));
    }
    fleet.runFor(seconds(1));
    int completeAnswers = 0;
    for (int number = 0; number < 10; ++number) {
        const Submission &after =
            fleet.submit(0, fleet.query("studio", "after-" + std::to_string(number)));
        fleet.runFor(milliseconds(100));
        completeAnswers += after.answer && after.answer->outcome == Outcome::Answered ? 1 : 0;
    }
    EXPECT_EQ(completeAnswers, 10);
}
