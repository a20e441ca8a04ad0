#include "support/Faults.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::fakes;

namespace {

/// What the judge found, a line each.
std::string verdictOf(TestFleet &fleet)
{
    std::string text;
    for (const std::string &line : fleet.verdict({}))
        text += line + "\n";
    return text;
}

void replaceAll(TestFleet &fleet)
{
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        fleet.killDaemon(daemon);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        fleet.startDaemon(daemon);
}

} // namespace

// The corners that a fleet without disks can not keep, see docs/promises.md: each shows what
// breaks, that nothing else does, and what the answer says then.

TEST(Corner, AllDaemonsReplacedWhileTheServiceIsStaleGoBackAndTheAnswerNamesTheVersion)
{
    TestFleet fleet(ammsShape(), 1);
    fleet.publishPolicy(milliseconds(50));
    fleet.runFor(warmUp);
    const Submission &before = fleet.submit(0, fleet.query("studio", "before"));
    fleet.runFor(seconds(1));
    fleet.platform().setStale(true);
    replaceAll(fleet);
    fleet.runFor(warmUp);
    const Submission &during = fleet.submit(0, fleet.query("studio", "during"));
    fleet.runFor(seconds(1));
    ASSERT_TRUE(before.answer && during.answer);
    EXPECT_EQ(before.answer->configuration, SectionVersion(2));
    EXPECT_EQ(during.answer->configuration, SectionVersion(1));
    EXPECT_EQ(during.answer->outcome, Outcome::Answered);
    EXPECT_NE(verdictOf(fleet).find("a version went back"), std::string::npos);
    EXPECT_EQ(verdictOf(fleet).find("attempt"), std::string::npos) << verdictOf(fleet);

    fleet.platform().setStale(false);
    fleet.runFor(seconds(40));
    EXPECT_EQ(fleet.view(0)->policies->version, SectionVersion(2));
}

TEST(Corner, OneDaemonLeftKeepsTheVersionWhileTheServiceIsStale)
{
    TestFleet fleet(ammsShape(), 1);
    fleet.publishPolicy(milliseconds(50));
    fleet.runFor(warmUp);
    fleet.platform().setStale(true);
    for (int daemon = 0; daemon < 3; ++daemon)
        fleet.killDaemon(daemon);
    for (int daemon = 0; daemon < 3; ++daemon)
        fleet.startDaemon(daemon);
    fleet.runFor(warmUp);
    EXPECT_EQ(verdictOf(fleet), "");
}

TEST(Corner, AMemoryLostBetweenSendAndResendIsConfessed)
{
    for (const bool isEverybodyReplaced : {false, true}) {
        TestFleet fleet(ammsShape(), 2);
        fleet.runFor(warmUp);
        const Query claim = fleet.claim("studio", "album");
        const int coordinator = coordinatorOf(fleet, 0, claim);
        const int entry = (coordinator + 1) % fleet.daemons();
        const Submission &first = fleet.submit(entry, claim);
        fleet.runFor(milliseconds(2));
        if (isEverybodyReplaced)
            replaceAll(fleet);
        fleet.killDaemon(coordinator);
        fleet.startDaemon(coordinator);
        fleet.runFor(seconds(20));
        const Submission &second = fleet.submit((entry + 1) % fleet.daemons(), claim);
        fleet.runFor(seconds(1));
        ASSERT_TRUE(second.answer);
        EXPECT_EQ(first.answer.has_value(), !isEverybodyReplaced);
        EXPECT_EQ(second.answer->outcome, Outcome::Unknown);
        EXPECT_EQ(second.answer->ran, ExecutionState::MaybeRan);
        EXPECT_EQ(second.answer->error, ErrorKind::MemoryTooYoung);
        EXPECT_EQ(verdictOf(fleet), "");
    }
}

/// One data centre is cut off from the platform and from the others for longer than lists take to
/// spread, while the list changes: both sides know a first coordinator, and a caller that reaches
/// both sides gets its request executed on each. Each answer is true of its own submission.
TEST(Corner, ASplitWithTwoListsMayExecuteOnEachSide)
{
    TestFleet fleet(ammsShape(), 3);
    fleet.runFor(warmUp);
    const Query probe = fleet.claim("studio", "album");
    const int coordinator = coordinatorOf(fleet, 0, probe);
    const int farEntry = (coordinator + 1) % fleet.daemons();
    const int nearEntry = (coordinator + 2) % fleet.daemons();
    // Daemons of the two sides lose each other; both reach all servers.
    for (const int near : {coordinator, nearEntry}) {
        for (const int far : {farEntry, (coordinator + 3) % fleet.daemons()})
            fleet.peers().setConnected(fleet.instance(near), fleet.instance(far), false);
    }
    fleet.platform().cutOff(fleet.host(coordinator));
    fleet.platform().cutOff(fleet.host(nearEntry));
    fleet.publishInstances(
        [&](InstanceList &list) {
            list.instances[static_cast<std::size_t>(coordinator)].isLeaving = true;
            list.instances[static_cast<std::size_t>(nearEntry)].isLeaving = true;
        },
        Duration{});
    fleet.runFor(seconds(15));
    const Query claim = fleet.claim("studio", "album");
    const Submission &near = fleet.submit(nearEntry, claim);
    fleet.runFor(seconds(1));
    const Submission &far = fleet.submit(farEntry, claim);
    fleet.runFor(seconds(1));
    ASSERT_TRUE(near.answer && far.answer);
    EXPECT_EQ(near.answer->ran, ExecutionState::Ran);
    EXPECT_EQ(far.answer->ran, ExecutionState::Ran);
    EXPECT_NE(near.answer->coordinator, far.answer->coordinator);
    const std::string verdict = verdictOf(fleet);
    EXPECT_NE(verdict.find("non-idempotent studio/album executed twice"), std::string::npos);
    EXPECT_EQ(verdict.find("attempt"), std::string::npos) << verdict;
}

/// The first coordinator of a claim changes and changes back while that daemon does not learn of
/// it. Its memory has a gap that it must know of, before and after it has caught up.
TEST(AtMostOnce, AMissedChangeOfCoordinatorsIsAGapInTheMemory)
{
    for (const bool hasCaughtUp : {false, true}) {
        TestFleet fleet(ammsShape(), 4);
        fleet.runFor(warmUp);
        const int away = coordinatorOf(fleet, 0, fleet.claim("studio", "album"));
        const auto setLeaving = [&](bool isLeaving) {
            fleet.publishInstances(
                [&](InstanceList &list) {
                    list.instances[static_cast<std::size_t>(away)].isLeaving = isLeaving;
                },
                Duration{});
        };
        const int entry = (away + 1) % fleet.daemons();
        fleet.holdView(away, true);
        setLeaving(true);
        fleet.runFor(seconds(8));
        const Query claim = fleet.claim("studio", "album");
        const Submission &first = fleet.submit(entry, claim);
        fleet.runFor(seconds(1));
        setLeaving(false);
        fleet.runFor(seconds(2));
        if (hasCaughtUp)
            fleet.holdView(away, false);
        fleet.runFor(seconds(1));
        const Submission &second = fleet.submit(entry, claim);
        fleet.runFor(seconds(1));
        ASSERT_TRUE(first.answer && second.answer);
        EXPECT_EQ(first.answer->ran, ExecutionState::Ran);
        EXPECT_EQ(verdictOf(fleet), "") << "has caught up: " << hasCaughtUp;
    }
}
