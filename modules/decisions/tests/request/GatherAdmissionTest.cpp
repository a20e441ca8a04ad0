#include <oleander/decisions/request/GatherAdmission.h>

#include <gtest/gtest.h>

#include <vector>

using namespace oleander;

namespace {

GatherAdmissionFacts plainFacts()
{
    return {.objectiveLeft = milliseconds(180),
            .deadlineLeft = milliseconds(2400),
            .expectedWait = {},
            .usualExecution = milliseconds(20),
            .isBelowHigher = true};
}

// Guards against refusals because of a few slow shards that an answer may lack.
TEST(GatherAdmission, ShardsThatMayBeMissingDoNotDecide)
{
    std::vector<Duration> waits(20, milliseconds(5));
    waits[3] = seconds(2);
    waits[11] = seconds(3);
    EXPECT_EQ(requiredWait(waits, 2), milliseconds(5));
    EXPECT_EQ(requiredWait(waits, 1), seconds(2));
    EXPECT_EQ(requiredWait(waits, 20), Duration{});
}

// Guards against refusals where no request waits, for example at slow servers.
TEST(GatherAdmission, NothingIsRefusedWithoutAWait)
{
    GatherAdmissionFacts facts = plainFacts();
    facts.objectiveLeft = milliseconds(-10);
    facts.deadlineLeft = milliseconds(1);
    EXPECT_EQ(admitGather(facts), AdmissionVerdict::Admitted);
    facts.isBelowHigher = false;
    EXPECT_EQ(admitGather(facts), AdmissionVerdict::Admitted);
}

TEST(GatherAdmission, RequestsThatWouldMissTheObjectiveAreRefused)
{
    GatherAdmissionFacts facts = plainFacts();
    facts.expectedWait = milliseconds(60);
    EXPECT_EQ(admitGather(facts), AdmissionVerdict::Admitted);
    facts.expectedWait = milliseconds(160);
    EXPECT_EQ(admitGather(facts), AdmissionVerdict::ObjectiveMissed);
}

// Guards against refusals of urgent requests that could still be answered, although late.
TEST(GatherAdmission, HighestPriorityIsRefusedOnlyForItsDeadline)
{
    GatherAdmissionFacts facts = plainFacts();
    facts.isBelowHigher = false;
    facts.expectedWait = milliseconds(2300);
    EXPECT_EQ(admitGather(facts), AdmissionVerdict::Admitted);
    facts.expectedWait = milliseconds(2390);
    EXPECT_EQ(admitGather(facts), AdmissionVerdict::DeadlineMissed);
}

// Guards against callers that all come back at once, before there is capacity, or never.
TEST(GatherAdmission, RefusedCallersComeBackSpreadAndInTime)
{
    GatherAdmissionFacts facts = plainFacts();
    facts.expectedWait = milliseconds(160);
    const Duration first = refusalRetryAfter(facts, 0);
    const Duration last = refusalRetryAfter(facts, 1);
    EXPECT_GE(last - first, milliseconds(160));
    // When the first ones come back, the rest of the wait is short enough.
    facts.expectedWait -= first;
    EXPECT_EQ(admitGather(facts), AdmissionVerdict::Admitted);
    facts.expectedWait = seconds(30);
    EXPECT_EQ(refusalRetryAfter(facts, 0.5), facts.deadlineLeft / 3);
}

} // namespace
