#include "support/Faults.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::fakes;

namespace {

/// The violations found in the history of the fleet, one per line.
std::string violationsOf(TestFleet &fleet)
{
    std::string text;
    for (const std::string &line : fleet.checkHistory({}))
        text += line + "\n";
    return text;
}

void restartAllDaemons(TestFleet &fleet)
{
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        fleet.killDaemon(daemon);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        fleet.startDaemon(daemon);
}

} // namespace

// Cases in which a fleet without persistent storage can not keep its guarantees, see
// docs/promises.md. Each test shows which guarantee is violated, that no other is, and what the
// answer reports.

TEST(KnownLimitation, RestartOfAllDaemonsWithAStaleServiceRevertsToTheOlderVersion)
{
    TestFleet fleet(ammsOptions(), 1);
    fleet.publishPolicy(milliseconds(50));
    fleet.runFor(warmUpTime);
    const Submission &before = fleet.submit(0, fleet.query("studio", "before"));
    fleet.runFor(seconds(1));
    fleet.platform().setStale(true);
    restartAllDaemons(fleet);
    fleet.runFor(warmUpTime);
    const Submission &during = fleet.submit(0, fleet.query("studio", "during"));
    fleet.runFor(seconds(1));
    ASSERT_TRUE(before.answer && during.answer);
    EXPECT_EQ(before.answer->configuration, SectionVersion(2));
    EXPECT_EQ(during.answer->configuration, SectionVersion(1));
    EXPECT_EQ(during.answer->outcome, Outcome::Answered);
    EXPECT_NE(violationsOf(fleet).find("a version decreased at daemon"), std::string::npos);
    EXPECT_EQ(violationsOf(fleet).find("attempt"), std::string::npos) << violationsOf(fleet);

    fleet.platform().setStale(false);
    fleet.runFor(seconds(40));
    EXPECT_EQ(fleet.view(0)->policies->version, SectionVersion(2));
}

TEST(KnownLimitation, OneRunningDaemonPreservesTheVersionWhileTheServiceIsStale)
{
    TestFleet fleet(ammsOptions(), 1);
    fleet.publishPolicy(milliseconds(50));
    fleet.runFor(warmUpTime);
    fleet.platform().setStale(true);
    for (int daemon = 0; daemon < 3; ++daemon)
        fleet.killDaemon(daemon);
    for (int daemon = 0; daemon < 3; ++daemon)
        fleet.startDaemon(daemon);
    fleet.runFor(warmUpTime);
    EXPECT_EQ(violationsOf(fleet), "");
}

TEST(KnownLimitation, ResendAfterLossOfTheDeduplicationTableIsAnsweredUnknown)
{
    for (const bool areAllDaemonsRestarted : {false, true}) {
        TestFleet fleet(ammsOptions(), 2);
        fleet.runFor(warmUpTime);
        const Query nonIdempotent = fleet.nonIdempotentQuery("studio", "album");
        const int coordinator = coordinatorOf(fleet, 0, nonIdempotent);
        const int entry = (coordinator + 1) % fleet.daemons();
        const Submission &first = fleet.submit(entry, nonIdempotent);
        fleet.runFor(milliseconds(2));
        if (areAllDaemonsRestarted)
            restartAllDaemons(fleet);
        fleet.killDaemon(coordinator);
        fleet.startDaemon(coordinator);
        fleet.runFor(seconds(20));
        const Submission &second = fleet.submit((entry + 1) % fleet.daemons(), nonIdempotent);
        fleet.runFor(seconds(1));
        ASSERT_TRUE(second.answer);
        EXPECT_EQ(first.answer.has_value(), !areAllDaemonsRestarted);
        EXPECT_EQ(second.answer->outcome, Outcome::Unknown);
        EXPECT_EQ(second.answer->ran, ExecutionState::MaybeRan);
        EXPECT_EQ(second.answer->error, ErrorKind::MemoryTooYoung);
        EXPECT_EQ(violationsOf(fleet), "");
    }
}

/// The two daemons of one data centre are cut off from the platform and from the other daemons for
/// longer than an instance list takes to spread, while the list changes. Each side then has a first
/// coordinator of its own, so a request that a caller sends to both sides is executed on each. Each
/// answer is correct for its own attempt.
TEST(KnownLimitation, NetworkPartitionWithTwoInstanceListsMayExecuteOnEachSide)
{
    TestFleet fleet(ammsOptions(), 3);
    fleet.runFor(warmUpTime);
    const Query probe = fleet.nonIdempotentQuery("studio", "album");
    const int coordinator = coordinatorOf(fleet, 0, probe);
    const int farEntry = (coordinator + 1) % fleet.daemons();
    const int nearEntry = (coordinator + 2) % fleet.daemons();
    // Daemons of the two sides can not reach each other; both sides reach all servers.
    for (const int near : {coordinator, nearEntry}) {
        for (const int far : {farEntry, (coordinator + 3) % fleet.daemons()})
            fleet.peers().setConnected(fleet.instance(near), fleet.instance(far), false);
    }
    fleet.platform().makeUnreachableFor(fleet.process(coordinator));
    fleet.platform().makeUnreachableFor(fleet.process(nearEntry));
    fleet.publishInstances(
        [&](InstanceList &list) {
            list.instances[static_cast<std::size_t>(coordinator)].isLeaving = true;
            list.instances[static_cast<std::size_t>(nearEntry)].isLeaving = true;
        },
        Duration{});
    fleet.runFor(seconds(15));
    const Query nonIdempotent = fleet.nonIdempotentQuery("studio", "album");
    const Submission &near = fleet.submit(nearEntry, nonIdempotent);
    fleet.runFor(seconds(1));
    const Submission &far = fleet.submit(farEntry, nonIdempotent);
    fleet.runFor(seconds(1));
    ASSERT_TRUE(near.answer && far.answer);
    EXPECT_EQ(near.answer->ran, ExecutionState::Ran);
    EXPECT_EQ(far.answer->ran, ExecutionState::Ran);
    EXPECT_NE(near.answer->coordinator, far.answer->coordinator);
    const std::string violations = violationsOf(fleet);
    EXPECT_NE(violations.find("non-idempotent studio/album executed twice"), std::string::npos);
    EXPECT_EQ(violations.find("attempt"), std::string::npos) << violations;
}

/// The first coordinator of a non-idempotent query changes and changes back while the original one
/// keeps its old view. Its deduplication table then has a gap, which it must take into account both
/// before and after it applies the newer views.
TEST(AtMostOnce, CoordinatorThatMissedAnInstanceListDoesNotExecuteAgain)
{
    for (const bool hasCaughtUp : {false, true}) {
        TestFleet fleet(ammsOptions(), 4);
        fleet.runFor(warmUpTime);
        const int firstCoordinator =
            coordinatorOf(fleet, 0, fleet.nonIdempotentQuery("studio", "album"));
        const auto setLeaving = [&](bool isLeaving) {
            fleet.publishInstances(
                [&](InstanceList &list) {
                    list.instances[static_cast<std::size_t>(firstCoordinator)].isLeaving =
                        isLeaving;
                },
                Duration{});
        };
        const int entry = (firstCoordinator + 1) % fleet.daemons();
        fleet.holdView(firstCoordinator, true);
        setLeaving(true);
        fleet.runFor(seconds(8));
        const Query nonIdempotent = fleet.nonIdempotentQuery("studio", "album");
        const Submission &first = fleet.submit(entry, nonIdempotent);
        fleet.runFor(seconds(1));
        setLeaving(false);
        fleet.runFor(seconds(2));
        if (hasCaughtUp)
            fleet.holdView(firstCoordinator, false);
        fleet.runFor(seconds(1));
        const Submission &second = fleet.submit(entry, nonIdempotent);
        fleet.runFor(seconds(1));
        ASSERT_TRUE(first.answer && second.answer);
        EXPECT_EQ(first.answer->ran, ExecutionState::Ran);
        EXPECT_EQ(violationsOf(fleet), "") << "has caught up: " << hasCaughtUp;
    }
}
