#include <oleander/decisions/request/Admission.h>
#include <oleander/decisions/request/PauseDetector.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oleander;

namespace {

AdmissionFacts arbitraryFacts()
{
    AdmissionFacts facts;
    facts.timeLeft = milliseconds(*rc::gen::inRange(-5, 200));
    facts.expectedWait = milliseconds(*rc::gen::inRange(0, 200));
    facts.usualLatency = milliseconds(*rc::gen::inRange(0, 100));
    facts.callerSubRequests = *rc::gen::inRange(0, 50);
    facts.totalSubRequests = facts.callerSubRequests + *rc::gen::inRange(0, 50);
    facts.isQueueing = *rc::gen::arbitrary<bool>();
    return facts;
}

} // namespace

RC_GTEST_PROP(Admission, QueryThatCanNotMeetItsDeadlineIsRefused, ())
{
    const AdmissionFacts facts = arbitraryFacts();
    const Policy policy;
    const auto urgency = *rc::gen::element(Urgency::Bulk, Urgency::Normal, Urgency::Urgent);
    Reason reason;
    if (admitQuery(facts, urgency, policy, reason)) {
        RC_ASSERT(facts.timeLeft.count() > 0);
        RC_ASSERT(facts.expectedWait <= facts.timeLeft);
        RC_ASSERT(facts.expectedWait <= policy.queueLimit);
        RC_ASSERT(2 * facts.timeLeft >= facts.usualLatency - microseconds(1));
        return;
    }
    RC_ASSERT(answerFor(reason.kind).ran == ExecutionState::NotRun);
    RC_ASSERT(!reason.text.empty());
}

RC_GTEST_PROP(Admission, HigherUrgencyIsAdmittedWheneverLowerIs, ())
{
    const AdmissionFacts facts = arbitraryFacts();
    Reason reason;
    const bool bulk = admitQuery(facts, Urgency::Bulk, Policy{}, reason);
    const bool normal = admitQuery(facts, Urgency::Normal, Policy{}, reason);
    const bool urgent = admitQuery(facts, Urgency::Urgent, Policy{}, reason);
    RC_ASSERT(!bulk || normal);
    RC_ASSERT(!normal || urgent);
}

RC_GTEST_PROP(Admission, CallerOverItsShareIsRefusedWhileOthersWait, ())
{
    AdmissionFacts facts = arbitraryFacts();
    facts.isQueueing = true;
    const Policy policy;
    Reason reason;
    const bool isOver = facts.callerSubRequests < facts.totalSubRequests
                        && facts.callerSubRequests * 1000 > facts.totalSubRequests * 500;
    if (isOver)
        RC_ASSERT(!admitQuery(facts, Urgency::Normal, policy, reason));
}

TEST(Admission, OnlyListedCallersMayBeUrgent)
{
    Policy policy;
    Query query;
    query.caller = CallerId("studio-1");
    query.urgency = Urgency::Urgent;
    EXPECT_EQ(permittedUrgency(query, policy), Urgency::Urgent);
    policy.urgentCallers = {CallerId("studio-2")};
    EXPECT_EQ(permittedUrgency(query, policy), Urgency::Normal);
    query.urgency = Urgency::Bulk;
    EXPECT_EQ(permittedUrgency(query, policy), Urgency::Bulk);
}

RC_GTEST_PROP(PauseDetector, GracePeriodStartsAfterAPauseAndEnds, ())
{
    PauseDetector detector;
    TimePoint now{seconds(5)};
    noteHeartbeat(detector, now);
    const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 400));
    for (const int gap : gaps) {
        now += milliseconds(gap);
        const Duration pause = noteHeartbeat(detector, now);
        RC_ASSERT((pause.count() > 0) == (milliseconds(gap) >= pauseThreshold));
        RC_ASSERT(pause.count() == 0 || isInGracePeriod(detector, now));
    }
    RC_ASSERT(!isInGracePeriod(detector, now + gracePeriod));
}
