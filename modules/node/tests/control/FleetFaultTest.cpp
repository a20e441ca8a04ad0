#include <gtest/gtest.h>

#include <control/support/SmallFleet.h>

using namespace oleander;
using oleander::testing::ControlHost;
using oleander::testing::SmallFleet;

namespace {

constexpr Duration convergenceLimit = seconds(3);

bool convergesTo(SmallFleet &fleet, SectionVersion version)
{
    return fleet.scheduler.runUntil([&] { return fleet.allHoldConfig(version); }, convergenceLimit);
}

bool becomesReady(SmallFleet &fleet, ControlHost &host)
{
    return fleet.scheduler.runUntil([&] { return host.node->isReady(); }, seconds(10));
}

/// Blocks or restores access to the platform for the daemons with numbers below `border`.
void cutFromPlatform(SmallFleet &fleet, int border, bool isCut)
{
    for (const auto &[id, host] : fleet.hosts) {
        if (std::stoi(id.text().substr(1)) < border)
            host->platform->setCut(isCut);
    }
}

} // namespace

TEST(FleetFault, ChangeReachesAllDaemonsWithoutFaults)
{
    SmallFleet fleet(12, 3);
    ASSERT_TRUE(fleet.startAllReady());
    for (const auto &[id, host] : fleet.hosts)
        EXPECT_EQ(host->view->partitions.size(), 3U) << id;
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.publish("config", "fleet second")));
}

TEST(FleetFault, ChangeKnownToHalfTheFleetSpreadsWhileThePlatformIsDown)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SmallFleet fleet(16, 4, seed);
        ASSERT_TRUE(fleet.startAllReady());
        fleet.split(8);
        cutFromPlatform(fleet, 8, true);
        fleet.scheduler.runFor(seconds(40));
        const auto version = fleet.platform.publish("config", "fleet second");
        fleet.scheduler.runFor(seconds(3));
        EXPECT_EQ(fleet.host("i12").configVersion(), version);
        EXPECT_EQ(fleet.host("i3").configVersion(), SectionVersion(1));
        fleet.platform.setDown(true);
        fleet.heal();
        EXPECT_TRUE(convergesTo(fleet, version)) << seed;
    }
}

TEST(FleetFault, SeparatedRegionsStayReadyAndConvergeOnceReconnected)
{
    SmallFleet fleet(18, 6);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.network.isCut = [](const Instance &left, const Instance &right) {
        return (left.dataCentre < DataCentreId("dc3")) != (right.dataCentre < DataCentreId("dc3"));
    };
    fleet.scheduler.runFor(seconds(30));
    EXPECT_TRUE(fleet.allReady());
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.publish("config", "fleet while split")));
    for (int round = 0; round < 5; ++round) {
        fleet.heal();
        fleet.scheduler.runFor(seconds(1));
        fleet.split(9);
        fleet.scheduler.runFor(seconds(2));
    }
    fleet.heal();
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.publish("config", "fleet healed")));
    EXPECT_EQ(fleet.versionDecreases(), 0);
}

TEST(FleetFault, RestartedDaemonGetsTheVersionOfTheFleet)
{
    SmallFleet fleet(8, 2);
    ASSERT_TRUE(fleet.startAllReady());
    for (int number = 0; number < fleet.size; ++number) {
        const auto version = fleet.platform.publish("config", "fleet " + std::to_string(number));
        ASSERT_TRUE(convergesTo(fleet, version));
        fleet.platform.publishOlderVersion("config", SectionVersion(1), "fleet first");
        ControlHost &restarted = fleet.start(fleet.instance(number));
        EXPECT_FALSE(restarted.node->isReady());
        ASSERT_TRUE(becomesReady(fleet, restarted));
        EXPECT_EQ(restarted.configVersion(), version);
        fleet.platform.publishOlderVersion("config", version, "fleet " + std::to_string(number));
    }
}

TEST(FleetFault, RestartOfAllDaemonsUsesThePlatformsVersion)
{
    SmallFleet fleet(12, 3);
    ASSERT_TRUE(fleet.startAllReady());
    const auto version = fleet.platform.publish("config", "fleet second");
    ASSERT_TRUE(convergesTo(fleet, version));
    fleet.hosts.clear();
    ASSERT_TRUE(fleet.startAllReady());
    EXPECT_TRUE(fleet.allHoldConfig(version));
}

TEST(FleetFault, ColdStartWithoutThePlatformIsNotReadyAndReportsWhy)
{
    SmallFleet fleet(12, 3);
    fleet.platform.setDown(true);
    fleet.startAll();
    fleet.scheduler.runFor(seconds(60));
    for (const auto &[id, host] : fleet.hosts) {
        EXPECT_FALSE(host->node->isReady()) << id;
        EXPECT_EQ(host->view, nullptr);
        EXPECT_NE(host->node->status().notReadyReason.find("neither the platform nor a peer"),
                  std::string::npos);
    }
    fleet.platform.setDown(false);
    EXPECT_TRUE(fleet.scheduler.runUntil([&] { return fleet.allReady(); }, seconds(10)));
}

TEST(FleetFault, DaemonStartsFromSeedsWhileThePlatformIsDown)
{
    SmallFleet fleet(6, 3);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.platform.setDown(true);
    fleet.settings.seeds = {fleet.instance(1), fleet.instance(2)};
    ControlHost &restarted = fleet.start(fleet.instance(5));
    ASSERT_TRUE(becomesReady(fleet, restarted));
    EXPECT_EQ(restarted.view->partitions.size(), 3U);
    EXPECT_EQ(restarted.view->instances->instances.size(), 6U);
}

TEST(FleetFault, KilledReadersAreReplacedWhileStillListed)
{
    SmallFleet fleet(12, 1);
    ASSERT_TRUE(fleet.startAllReady());
    std::vector<InstanceId> readers;
    for (const auto &[id, host] : fleet.hosts) {
        const auto sectionsRead = host->node->status().readerOf;
        if (std::ranges::find(sectionsRead, "config") != sectionsRead.end())
            readers.push_back(id);
    }
    EXPECT_EQ(readers.size(), 3U);
    for (const InstanceId &reader : readers)
        fleet.kill(reader);
    fleet.scheduler.runFor(seconds(10));
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.publish("config", "fleet second")));
}

TEST(FleetFault, PlannedStopIsAnnouncedToPeersAndTransfersReading)
{
    SmallFleet fleet(9, 3);
    ASSERT_TRUE(fleet.startAllReady());
    ControlHost &leaving = fleet.host("i4");
    leaving.node->beginStop();
    EXPECT_FALSE(leaving.node->isReady());
    EXPECT_TRUE(leaving.node->status().readerOf.empty());
    fleet.scheduler.runFor(milliseconds(100));
    int informedDaemons = 0;
    for (const auto &[id, host] : fleet.hosts) {
        for (const Instance &instance : host->view->instances->instances)
            informedDaemons += instance.id == InstanceId("i4") && instance.isLeaving ? 1 : 0;
        const auto neighbours = host->node->status().neighbours;
        if (id != InstanceId("i4") && host->node->status().leaving.size() == 1) {
            EXPECT_EQ(std::ranges::find(neighbours, InstanceId("i4")), neighbours.end());
        }
    }
    EXPECT_GE(informedDaemons, 3);
    fleet.kill(InstanceId("i4"));
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.publish("config", "fleet second")));
}

TEST(FleetFault, PausedDaemonMarksNoPeerUnreachableAndConfirmsBeforeItIsReady)
{
    SmallFleet fleet(9, 3);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.scheduler.runFor(seconds(5));
    ControlHost &paused = fleet.host("i2");
    paused.timer->pauseFor(seconds(20));
    fleet.scheduler.runFor(seconds(1));
    const auto version = fleet.platform.publish("config", "fleet second");
    fleet.scheduler.runFor(seconds(18));
    EXPECT_EQ(paused.configVersion(), SectionVersion(1));
    const int lateTimersBefore = paused.log.counts[EventId::LateTimer];
    ASSERT_TRUE(fleet.scheduler.runUntil(
        [&] { return paused.log.counts[EventId::LateTimer] > lateTimersBefore; }, seconds(2)));
    EXPECT_FALSE(paused.node->isReady());
    EXPECT_TRUE(paused.node->status().unreachable.empty());
    ASSERT_TRUE(becomesReady(fleet, paused));
    EXPECT_EQ(paused.configVersion(), version);
    EXPECT_TRUE(paused.node->status().unreachable.empty());
}

TEST(FleetFault, CallsThatTimedOutDuringAPauseMarkNoPeerUnreachable)
{
    std::uint64_t failures = 0;
    for (int offset = 0; offset < 1000; offset += 100) {
        SmallFleet fleet(9, 3);
        ASSERT_TRUE(fleet.startAllReady());
        fleet.scheduler.runFor(seconds(2) + milliseconds(offset));
        ControlHost &paused = fleet.host("i2");
        fleet.network.isCut = [](const Instance &left, const Instance &right) {
            return left.id == InstanceId("i2") || right.id == InstanceId("i2");
        };
        fleet.scheduler.runFor(milliseconds(500));
        paused.timer->pauseFor(seconds(4));
        fleet.scheduler.runFor(seconds(3));
        fleet.heal();
        fleet.scheduler.runFor(seconds(1) + microseconds(1));
        EXPECT_TRUE(paused.node->status().unreachable.empty()) << offset;
        failures += paused.node->status().counters.peerFailures;
    }
    EXPECT_GT(failures, 0U);
}

TEST(FleetFault, SectionsBeyondTheMessageLimitFollowInFurtherMessages)
{
    SmallFleet fleet(2, 1);
    fleet.settings.gossip.maximumMessageBytes = 1;
    ASSERT_TRUE(fleet.startAllReady());
    ControlHost &restarted = fleet.start(fleet.instance(1));
    EXPECT_TRUE(
        fleet.scheduler.runUntil([&] { return restarted.node->isReady(); }, milliseconds(700)));
}

TEST(FleetFault, CrashNoticeReachesEachDaemonOnce)
{
    SmallFleet fleet(24, 4);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.scheduler.runFor(seconds(3));
    const CrashNotice notice{ServiceId("s1"), Fingerprint(7), ServerId("x"), milliseconds(5)};
    fleet.host("i9").node->broadcastCrash(notice);
    fleet.scheduler.runFor(seconds(1));
    for (const auto &[id, host] : fleet.hosts) {
        if (id == InstanceId("i9"))
            continue;
        ASSERT_EQ(host->crashes.size(), 1U) << id;
        EXPECT_EQ(host->crashes.front().fingerprint, notice.fingerprint);
        EXPECT_GE(host->crashes.front().age, notice.age);
    }
}

TEST(FleetFault, IsolatedDaemonsReadThePlatformWithinTheSubstituteBudget)
{
    SmallFleet fleet(12, 3);
    fleet.settings.platform.substituteBudget = 12;
    ASSERT_TRUE(fleet.startAllReady());
    fleet.network.isCut = [](const Instance &, const Instance &) { return true; };
    fleet.scheduler.runFor(seconds(60));
    // 6 sections with one reader in each of 3 data centres, and 2 calls for each of 12 daemons.
    EXPECT_LE(fleet.platform.waiting(), 6U * 3U + 2U * 12U);
    const auto version = fleet.platform.publish("config", "fleet second");
    EXPECT_TRUE(
        fleet.scheduler.runUntil([&] { return fleet.allHoldConfig(version); }, seconds(30)));
    fleet.heal();
    fleet.scheduler.runFor(seconds(45));
    EXPECT_LE(fleet.platform.waiting(), 6U * 3U);
}

TEST(FleetFault, UnlistedDaemonStarts)
{
    SmallFleet fleet(6, 3);
    ASSERT_TRUE(fleet.startAllReady());
    ControlHost &unlisted = fleet.start(fleet.instance(8));
    ASSERT_TRUE(becomesReady(fleet, unlisted));
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.publish("config", "fleet second")));
}

TEST(FleetFault, FleetStartsWhenNoListedInstanceIsRunning)
{
    SmallFleet fleet(6, 3);
    for (int number = 20; number < 26; ++number)
        fleet.start(fleet.instance(number));
    ASSERT_TRUE(fleet.scheduler.runUntil([&] { return fleet.allReady(); }, seconds(30)));
    EXPECT_EQ(fleet.host("i20").view->partitions.size(), 3U);
}

TEST(FleetFault, VersionHeldOnlyByAnUnlistedDaemonReachesAll)
{
    SmallFleet fleet(6, 3);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.start(fleet.instance(8));
    fleet.scheduler.runFor(seconds(10));
    cutFromPlatform(fleet, 6, true);
    fleet.scheduler.runFor(seconds(40));
    const auto version = fleet.platform.publish("instances", "i0 dc0\ni1 dc1\ni8 dc2\n");
    ASSERT_TRUE(fleet.scheduler.runUntil(
        [&] { return fleet.host("i8").view->instances->version == version; }, seconds(10)));
    fleet.scheduler.runFor(convergenceLimit);
    for (const auto &[id, host] : fleet.hosts)
        EXPECT_EQ(host->view->instances->version, version) << id;
}

TEST(FleetFault, WallClockSkewDoesNotAffectConvergence)
{
    SmallFleet fleet(9, 3);
    fleet.startAll();
    int number = 0;
    for (const auto &[id, host] : fleet.hosts)
        host->timer->setWallOffset(std::chrono::hours(number++ * 7 - 20));
    ASSERT_TRUE(fleet.scheduler.runUntil([&] { return fleet.allReady(); }, seconds(10)));
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.publish("config", "fleet second")));
    EXPECT_EQ(fleet.versionDecreases(), 0);
}
