#include <gtest/gtest.h>

#include <control/support/SmallFleet.h>

using namespace oleander;
using oleander::testing::ControlHost;
using oleander::testing::SmallFleet;

namespace {

constexpr Duration convergenceLimit = seconds(3);

} // namespace

TEST(ControlNode, FleetBecomesReadyAndAChangeReachesAll)
{
    SmallFleet fleet(12, 3);
    ASSERT_TRUE(fleet.startReady());
    for (const auto &[id, host] : fleet.hosts)
        EXPECT_EQ(host->view->partitions.size(), 3U) << id;
    const auto version = fleet.platform.publish("config", "fleet second");
    EXPECT_TRUE(
        fleet.scheduler.runUntil([&] { return fleet.allHoldConfig(version); }, convergenceLimit));
    EXPECT_EQ(fleet.reversions(), 0);
}
