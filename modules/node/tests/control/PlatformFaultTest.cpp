#include <gtest/gtest.h>

#include <control/support/SmallFleet.h>

using namespace oleander;
using oleander::testing::ControlHost;
using oleander::testing::SmallFleet;

namespace {

constexpr Duration convergenceLimit = seconds(3);

bool anyHoldsConfig(const SmallFleet &fleet, SectionVersion version)
{
    return std::ranges::any_of(
        fleet.hosts, [&](const auto &item) { return item.second->configVersion() == version; });
}

bool convergesTo(SmallFleet &fleet, SectionVersion version)
{
    return fleet.scheduler.runUntil([&] { return fleet.allHoldConfig(version); }, convergenceLimit);
}

} // namespace

TEST(PlatformFault, ChangeSpreadsWhenThePlatformGoesDownAfterTheFirstRead)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SmallFleet fleet(20, 4, seed);
        ASSERT_TRUE(fleet.startAllReady());
        fleet.scheduler.runFor(seconds(5));
        // Only readers in one data centre can read the change before the platform goes down.
        const DataCentreId last("dc" + std::to_string(seed % 4));
        fleet.platform.setReachableBy(
            [last](const Instance &reader) { return reader.dataCentre == last; });
        const auto version = fleet.platform.publish("config", "fleet second");
        ASSERT_TRUE(
            fleet.scheduler.runUntil([&] { return anyHoldsConfig(fleet, version); }, seconds(1)));
        fleet.platform.setDown(true);
        EXPECT_TRUE(convergesTo(fleet, version)) << seed;
    }
}

TEST(PlatformFault, FleetStaysReadyAndMakesFewCallsDuringALongOutage)
{
    SmallFleet fleet(20, 4);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.platform.setDown(true);
    fleet.scheduler.runFor(seconds(60));
    const auto callsBefore = fleet.platform.calls;
    fleet.scheduler.runFor(seconds(60));
    // 6 sections with one reader in each of 4 data centres, and at most one call per reader and
    // second.
    EXPECT_LE(fleet.platform.calls - callsBefore, 6U * 4U * 60U);
    EXPECT_TRUE(fleet.allReady());
    const auto status = fleet.host("i3").node->status();
    ASSERT_TRUE(status.platformAge.has_value());
    EXPECT_GT(*status.platformAge, seconds(80));
    fleet.platform.setDown(false);
    const auto version = fleet.platform.publish("config", "fleet after");
    EXPECT_TRUE(convergesTo(fleet, version));
    EXPECT_LT(*fleet.host("i3").node->status().platformAge, seconds(10));
}

TEST(PlatformFault, RestartedDaemonUsesTheNewerVersionOfItsPeersWhenThePlatformIsStale)
{
    SmallFleet fleet(9, 3);
    ASSERT_TRUE(fleet.startAllReady());
    const auto version = fleet.platform.publish("config", "fleet second");
    ASSERT_TRUE(convergesTo(fleet, version));
    fleet.platform.publishOlderVersion("config", SectionVersion(1), "fleet first");
    ControlHost &restarted = fleet.start(fleet.instance(4));
    ASSERT_TRUE(fleet.scheduler.runUntil([&] { return restarted.node->isReady(); }, seconds(10)));
    EXPECT_EQ(restarted.configVersion(), version);
    fleet.scheduler.runFor(seconds(40));
    EXPECT_TRUE(fleet.allHoldConfig(version));
    EXPECT_EQ(fleet.versionDecreases(), 0);
}

TEST(PlatformFault, StaleAnswersAreCountedAndCauseNoRepeatedReads)
{
    SmallFleet fleet(6, 3);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.platform.publish("config", "fleet second");
    fleet.scheduler.runFor(seconds(3));
    fleet.platform.publishOlderVersion("config", SectionVersion(1), "fleet first");
    fleet.platform.setIgnoringAfter(true);
    fleet.scheduler.runFor(seconds(35));
    const auto callsBefore = fleet.platform.calls;
    fleet.scheduler.runFor(seconds(30));
    EXPECT_LT(fleet.platform.calls - callsBefore, 6U * 3U * 30U);
    EXPECT_TRUE(fleet.allHoldConfig(SectionVersion(2)));
    std::uint64_t oldSections = 0;
    int events = 0;
    for (const auto &[id, host] : fleet.hosts) {
        oldSections += host->node->status().counters.sectionsOld;
        events += host->log.counts[EventId::ConfigurationOld];
    }
    EXPECT_GT(oldSections, 0U);
    EXPECT_EQ(static_cast<std::uint64_t>(events), oldSections);
}

TEST(PlatformFault, SlowPlatformDelaysOnlyTheFirstReader)
{
    SmallFleet fleet(12, 3);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.platform.setLatency(seconds(4));
    fleet.scheduler.runFor(seconds(40));
    const auto version = fleet.platform.publish("config", "fleet second");
    ASSERT_TRUE(
        fleet.scheduler.runUntil([&] { return anyHoldsConfig(fleet, version); }, seconds(20)));
    EXPECT_TRUE(convergesTo(fleet, version));
}

TEST(PlatformFault, ChangesSpreadFromAFlappingPlatformWithBoundedCalls)
{
    SmallFleet fleet(12, 3);
    ASSERT_TRUE(fleet.startAllReady());
    const auto callsBefore = fleet.platform.calls;
    for (int round = 0; round < 100; ++round) {
        fleet.platform.setDown(round % 2 == 0);
        if (round % 10 == 1)
            fleet.platform.publish("config", "fleet round " + std::to_string(round));
        fleet.scheduler.runFor(milliseconds(300));
    }
    // 6 sections with 3 readers each, during 30 s, at the minimum interval of 200 ms.
    EXPECT_LT(fleet.platform.calls - callsBefore, 6U * 3U * 30U * 5U);
    fleet.platform.setDown(false);
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.versionOf("config")));
    EXPECT_EQ(fleet.versionDecreases(), 0);
}

TEST(PlatformFault, RapidChangesAreReadAtTheMinimumInterval)
{
    SmallFleet fleet(12, 3);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.scheduler.runFor(seconds(1));
    const auto callsBefore = fleet.platform.calls;
    for (int change = 0; change < 300; ++change) {
        fleet.platform.publish("config", "fleet " + std::to_string(change));
        fleet.scheduler.runFor(milliseconds(10));
    }
    EXPECT_LE(fleet.platform.calls - callsBefore, 3U * 3U * 5U + 3U);
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.versionOf("config")));
}

TEST(PlatformFault, InvalidValueIsRefusedAndNeitherSpreadNorReadAgain)
{
    SmallFleet fleet(12, 3);
    ASSERT_TRUE(fleet.startAllReady());
    const auto invalidVersion = fleet.platform.publish("config", "fleet bad");
    fleet.scheduler.runFor(seconds(5));
    EXPECT_TRUE(fleet.allHoldConfig(SectionVersion(1)));
    std::uint64_t refused = 0;
    for (const auto &[id, host] : fleet.hosts) {
        const auto status = host->node->status();
        refused += status.counters.sectionsRefused;
        for (const auto &section : status.sections) {
            if (section.refusedVersion) {
                EXPECT_EQ(*section.refusedVersion, invalidVersion);
                EXPECT_EQ(section.refusedReason, "$: bad");
            }
        }
    }
    EXPECT_EQ(refused, 3U) << "only the reader in each of the 3 data centres may refuse the value";
    const auto calls = fleet.platform.calls;
    fleet.scheduler.runFor(seconds(20));
    EXPECT_LT(fleet.platform.calls - calls, 60U);
    EXPECT_TRUE(convergesTo(fleet, fleet.platform.publish("config", "fleet mended")));
}

TEST(PlatformFault, RefusedValueIsReportedWhenNoValidOneIsHeld)
{
    SmallFleet fleet(3, 3);
    fleet.platform.publish("config", "fleet bad");
    EXPECT_FALSE(fleet.startAllReady());
    const auto sections = fleet.host("i0").node->status().sections;
    const auto config = std::ranges::find_if(
        sections, [](const SectionStatus &item) { return item.summary.name == "config"; });
    ASSERT_NE(config, sections.end());
    EXPECT_TRUE(config->summary.version.isNone());
    EXPECT_EQ(config->refusedReason, "$: bad");
}

TEST(PlatformFault, ConfigurationOfAnotherFleetIsRefused)
{
    SmallFleet fleet(6, 3);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.platform.publish("config", "elsewhere");
    fleet.scheduler.runFor(seconds(5));
    EXPECT_TRUE(fleet.allHoldConfig(SectionVersion(1)));
}

TEST(PlatformFault, ConcurrentPublicationsOfTwoOperatorsConverge)
{
    SmallFleet fleet(15, 3);
    ASSERT_TRUE(fleet.startAllReady());
    for (int round = 0; round < 20; ++round) {
        fleet.platform.publish("config", "fleet of one operator");
        const auto last = fleet.platform.publish("config", "fleet of the other");
        EXPECT_TRUE(convergesTo(fleet, last)) << round;
    }
    EXPECT_EQ(fleet.versionDecreases(), 0);
}

TEST(PlatformFault, TwoTextsOfOneVersionConvergeToOne)
{
    SmallFleet fleet(10, 2);
    ASSERT_TRUE(fleet.startAllReady());
    fleet.split(5);
    fleet.scheduler.runFor(seconds(3));
    fleet.platform.setTextFor([](const Instance &reader, const std::string &body) {
        return body + (std::stoi(reader.id.text().substr(1)) < 5 ? " left" : " right");
    });
    const auto version = fleet.platform.publish("config", "fleet two");
    fleet.scheduler.runFor(seconds(3));
    fleet.heal();
    const auto digests = [&] {
        std::set<std::uint64_t> found;
        for (const auto &[id, host] : fleet.hosts)
            found.insert(host->node->status().sections.front().summary.digest);
        return found.size();
    };
    EXPECT_TRUE(fleet.allHoldConfig(version));
    EXPECT_TRUE(fleet.scheduler.runUntil([&] { return digests() == 1; }, convergenceLimit));
}
