#include "support/Faults.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::fakes;

// Every connection of both replicas of a shard goes silent while all of them are busy: none is idle
// to make room for the fresh connection that tells silence from slowness.
TEST(SilentConnection, AllBusyConnectionsOfAShardAreReplacedAndQueriesAreWholeAgain)
{
    TestFleet fleet(ammsShape(), 7);
    fleet.runFor(warmUp);
    const Shard &shard = fleet.view(0)->partitions.begin()->second->shards.front();
    for (const ServerId &server : shard.replicas)
        fleet.servers().silence(server);
    for (int number = 0; number < 60; ++number) {
        fleet.submit(0, fleet.query("studio", "during-" + std::to_string(number)));
        fleet.runFor(milliseconds(5));
    }
    fleet.runFor(seconds(1));
    int whole = 0;
    for (int number = 0; number < 10; ++number) {
        const Submission &after =
            fleet.submit(0, fleet.query("studio", "after-" + std::to_string(number)));
        fleet.runFor(milliseconds(100));
        whole += after.answer && after.answer->outcome == Outcome::Answered ? 1 : 0;
    }
    EXPECT_EQ(whole, 10);
}
