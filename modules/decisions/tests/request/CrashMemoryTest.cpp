#include <oleander/decisions/request/CrashMemory.h>

#include <gtest/gtest.h>

using namespace oleander;

namespace {

const Fingerprint query(7);
const CrashRules rules{.canary = false};
constexpr TimePoint start{seconds(100)};

ServerId numberedServer(int number)
{
    return ServerId("server-" + std::to_string(number));
}

DispatchDecision decideAt(const CrashMemory &memory, TimePoint now)
{
    return decideDispatch(memory, query, now, rules);
}

// Guards against refusing a query that servers survive all the time: it was at two servers that
// another query crashed, as one instance saw it and as another reported.
TEST(CrashMemory, SurvivedQueryIsNotRefusedForTwoCoincidences)
{
    CrashMemory memory;
    noteSurvived(memory, query, start);
    const TimePoint first = start + seconds(1);
    noteLoss(memory, {query, numberedServer(1), wholeServer}, first);
    noteReport(memory, {{query, numberedServer(2), wholeServer}, milliseconds(0)},
               first + seconds(1));
    EXPECT_EQ(decideAt(memory, first + seconds(2)), DispatchDecision::CanaryFirst);
    noteSurvived(memory, query, first + seconds(3));
    EXPECT_EQ(decideAt(memory, first + seconds(3)), DispatchDecision::SendToAll);
}

// Guards against counting each server of a rack, or of one crashing query, against a harmless one.
TEST(CrashMemory, ServersLostTogetherCountOnceForASurvivedQuery)
{
    CrashMemory memory;
    noteSurvived(memory, query, start);
    for (int number = 0; number < 40; ++number)
        noteLoss(memory, {query, numberedServer(number), wholeServer},
                 start + seconds(1) + milliseconds(number));
    EXPECT_EQ(decideAt(memory, start + seconds(2)), DispatchDecision::CanaryFirst);
}

// Guards against sending a query on that has begun to crash servers, because it once did not.
TEST(CrashMemory, SurvivedQueryIsRefusedAfterMoreLosses)
{
    CrashMemory memory;
    noteSurvived(memory, query, start);
    TimePoint now = start;
    for (int number = 0; number < rules.harmlessServerLimit; ++number) {
        EXPECT_NE(decideAt(memory, now), DispatchDecision::Refuse);
        now += seconds(1);
        noteLoss(memory, {query, numberedServer(number), wholeServer}, now);
    }
    EXPECT_EQ(decideAt(memory, now), DispatchDecision::Refuse);
}

// Guards against unbounded memory of the queries that callers send.
TEST(CrashMemory, SurvivalsAreBounded)
{
    CrashMemory memory;
    for (int number = 0; number < 20'000; ++number)
        noteSurvived(memory, Fingerprint(static_cast<std::uint64_t>(number)),
                     start + milliseconds(number));
    EXPECT_LE(memory.survivals.size(), CrashMemory::maximumSurvivals);
    EXPECT_TRUE(isKnownHarmless(memory, Fingerprint(19'999), start + seconds(20)));
    expireCrashRecords(memory, start + seconds(600), rules);
    EXPECT_TRUE(memory.survivals.empty());
}

} // namespace
