#include <oleander/decisions/request/ServerRoom.h>
#include <oleander/gateway/ExtraBudget.h>
#include <oleander/gateway/FleetSize.h>
#include <oleander/gateway/RecordMerge.h>
#include <oleander/gateway/ServerScore.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace oleander;
using namespace oleander::gateway;

namespace {

// Generates first attempts, extra attempts and idle times at random. Checks the window that ends at
// each extra attempt, independently of how the budget divides time.
RC_GTEST_PROP(ExtraBudget, ExtraAttemptsInAnyWindowStayWithinShareAndAllowance, ())
{
    ExtraBudgetRules rules;
    rules.share = 0.2;
    rules.allowance = *rc::gen::inRange(0, 40) / 4.0;
    ExtraBudget budget;
    std::vector<TimePoint> firstAttempts;
    std::vector<TimePoint> extraAttempts;
    TimePoint now{};
    const int steps = *rc::gen::inRange(1, 400);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(*rc::gen::weightedElement<int>({{8, 20}, {2, 700}, {1, 9000}}));
        if (*rc::gen::inRange(0, 2) == 0) {
            budget.noteFirstAttempt(rules, now);
            firstAttempts.push_back(now);
        }
        const auto kind = *rc::gen::element(ExtraAttemptKind::Retry, ExtraAttemptKind::Hedge);
        if (!budget.takeExtra(rules, kind, now))
            continue;
        extraAttempts.push_back(now);
        const auto isInWindow = [&](TimePoint time) { return time > now - rules.window; };
        const auto earned =
            rules.share * static_cast<double>(std::ranges::count_if(firstAttempts, isInWindow));
        RC_ASSERT(static_cast<double>(std::ranges::count_if(extraAttempts, isInWindow))
                  <= earned + rules.allowance + 1e-9);
    }
}

/// Takes extra attempts of `kind` until the budget refuses one; returns how many it granted.
int takeAllExtraAttempts(ExtraBudget &budget, const ExtraBudgetRules &rules, ExtraAttemptKind kind,
                         TimePoint now)
{
    int count = 0;
    while (budget.takeExtra(rules, kind, now))
        ++count;
    return count;
}

// An instance that sends few requests must be able to use its whole budget at once when a server
// stalls.
TEST(ExtraBudget, WholeShareAndAllowanceCanBeUsedAtOnce)
{
    ExtraBudgetRules rules;
    rules.share = 0.2;
    rules.allowance = 3;
    ExtraBudget budget;
    const TimePoint afterWindow(rules.window);
    for (int request = 0; request < 5; ++request)
        budget.noteFirstAttempt(rules, afterWindow);
    EXPECT_EQ(takeAllExtraAttempts(budget, rules, ExtraAttemptKind::Retry, afterWindow), 3);
    EXPECT_EQ(takeAllExtraAttempts(budget, rules, ExtraAttemptKind::Retry,
                                   afterWindow + rules.window / 2),
              0);
    EXPECT_EQ(takeAllExtraAttempts(budget, rules, ExtraAttemptKind::Retry,
                                   afterWindow + 2 * rules.window),
              2);
}

TEST(ExtraBudget, NewProcessStartsWithPartOfTheAllowance)
{
    ExtraBudgetRules rules;
    rules.share = 0.2;
    rules.allowance = 10;
    const TimePoint start = TimePoint{} + seconds(100);
    ExtraBudget budget(start);
    EXPECT_EQ(takeAllExtraAttempts(budget, rules, ExtraAttemptKind::Retry, start), 2);
    for (int request = 0; request < 5; ++request)
        budget.noteFirstAttempt(rules, start);
    EXPECT_EQ(takeAllExtraAttempts(budget, rules, ExtraAttemptKind::Retry, start + seconds(1)), 1);
    EXPECT_EQ(
        takeAllExtraAttempts(budget, rules, ExtraAttemptKind::Retry, start + 2 * rules.window), 8);
}

// Uses the sizes of a large deployment, in which each instance has fewer than three extra attempts
// per window. All instances take every extra attempt that they can, and restart at the same time.
TEST(ExtraBudget, FleetStaysWithinItsAllowanceWhenAllInstancesRestart)
{
    constexpr int instances = 98;
    constexpr double fleetAllowance = 260;
    constexpr double fleetShare = 0.2;
    constexpr auto step = milliseconds(50);
    ExtraBudgetRules rules;
    rules.allowance = 0.9 * fleetAllowance / instances;
    rules.randomAllowance = 1;
    const TimePoint restartTime = TimePoint{} + seconds(25);
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> randomFraction(0, 1);
    std::vector<ExtraBudget> budgets;
    budgets.reserve(instances);
    for (int number = 0; number < instances; ++number)
        budgets.emplace_back(TimePoint{}, randomFraction(random));
    std::vector<TimePoint> firstAttempts;
    std::vector<TimePoint> extraAttempts;
    for (TimePoint now{}; now < TimePoint{} + seconds(50); now += step) {
        for (ExtraBudget &budget : budgets) {
            if (now == restartTime)
                budget = ExtraBudget(now, randomFraction(random));
            if (randomFraction(random) < 0.0225) {
                budget.noteFirstAttempt(rules, now);
                firstAttempts.push_back(now);
            }
            while (budget.takeExtra(rules, ExtraAttemptKind::Retry, now))
                extraAttempts.push_back(now);
        }
    }
    for (TimePoint from{}; from < TimePoint{} + seconds(40); from += step) {
        const auto isInWindow = [&](TimePoint time) {
            return time >= from && time < from + rules.window;
        };
        EXPECT_LE(static_cast<double>(std::ranges::count_if(extraAttempts, isInWindow)),
                  fleetShare * static_cast<double>(std::ranges::count_if(firstAttempts, isInWindow))
                      + fleetAllowance);
    }
    // Each instance rounds its part down to whole attempts; random rounding makes up for the loss.
    const auto isLate = [](TimePoint time) { return time >= TimePoint{} + seconds(40); };
    EXPECT_GE(static_cast<double>(std::ranges::count_if(extraAttempts, isLate)),
              0.8 * fleetAllowance);
}

TEST(ExtraBudget, HedgesLeavePartOfTheAllowanceToRetries)
{
    ExtraBudgetRules rules;
    rules.allowance = 5;
    rules.maximumHedgeShare = 0.5;
    ExtraBudget budget;
    const TimePoint afterWindow(rules.window);
    EXPECT_EQ(takeAllExtraAttempts(budget, rules, ExtraAttemptKind::Hedge, afterWindow), 2);
    EXPECT_EQ(takeAllExtraAttempts(budget, rules, ExtraAttemptKind::Retry, afterWindow), 2);
}

// Guards against a process that runs out of memory because a stranger states ever new names.
TEST(FleetSize, NamesThatAreKeptAreBounded)
{
    FleetSize size{InstanceId("a")};
    for (int number = 0; number < 20'000; ++number)
        size.onBeacon(InstanceId("i-" + std::to_string(number)));
    EXPECT_EQ(size.heardOf(), 8192U);
}

TEST(FleetSize, EstimateNeedsAnotherInstanceAndNeverDecreases)
{
    FleetSize size{InstanceId("a")};
    EXPECT_FALSE(size.estimate());
    size.onBeacon(InstanceId("b"));
    size.addReportedCount(20);
    size.addReportedCount(3);
    size.addReportedCount(1'000'000'000);
    EXPECT_EQ(size.estimate(), 20U);
    EXPECT_EQ(size.heardOf(), 2U);
}

TEST(RecordMerge, IgnoresIncompleteRecordAndKeepsDuplicates)
{
    const std::string lower(recordBytes, 'a');
    const std::string greater(recordBytes, '\xff');
    const std::string first = lower + greater + "rest";
    const std::string_view parts[] = {first, greater};
    EXPECT_EQ(greatestRecords(parts, 3), greater + greater + lower);
    EXPECT_EQ(greatestRecords(parts, 2), greater + greater);
    EXPECT_EQ(greatestRecords(parts, 0), "");
}

RC_GTEST_PROP(RecordMerge, ReturnsTheGreatestRecordsInDescendingOrder, ())
{
    const auto generatedParts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'd')));
    const auto recordLimit = *rc::gen::inRange<std::size_t>(0, 30);
    std::vector<std::string> records;
    std::vector<std::string_view> parts;
    for (const std::string &part : generatedParts) {
        parts.emplace_back(part);
        for (std::size_t offset = 0; offset + recordBytes <= part.size(); offset += recordBytes)
            records.push_back(part.substr(offset, recordBytes));
    }
    std::ranges::sort(records, std::greater<>());
    std::string expected;
    for (std::size_t index = 0; index < std::min(recordLimit, records.size()); ++index)
        expected += records[index];
    RC_ASSERT(greatestRecords(parts, recordLimit) == expected);
}

struct ServerChoiceTest : ::testing::Test
{
    /// Fraction of choices in which the first of two servers is chosen.
    double shareOfFirst()
    {
        const ServerCandidate candidates[] = {{0, &first, 0, firstAge, firstIsLocal},
                                              {1, &second, 0, 0}};
        constexpr int choices = 1000;
        int chosen = 0;
        for (int choice = 0; choice < choices; ++choice) {
            const auto random = ~std::uint64_t{0} / choices * static_cast<std::uint64_t>(choice);
            chosen += chooseServer(candidates, now, random) == std::size_t{0} ? 1 : 0;
        }
        return static_cast<double>(chosen) / choices;
    }

    TimePoint now{seconds(10)};
    ServerScore first;
    ServerScore second;
    double firstAge = 0;
    bool firstIsLocal = false;
};

TEST_F(ServerChoiceTest, EqualServersGetEqualShares)
{
    EXPECT_NEAR(shareOfFirst(), 0.5, 0.01);
}

TEST_F(ServerChoiceTest, StalledServerGetsAlmostNoRequests)
{
    firstAge = 4;
    EXPECT_LT(shareOfFirst(), 0.05);
}

// Guards against requests to a machine that has just stated that work takes five times as long, and
// against avoiding it long after the statement, which no reply renews while it is avoided.
TEST_F(ServerChoiceTest, StatedPaceCountsAtOnceAndFades)
{
    noteLoad(first, {0, 0, 2, 5.0}, now);
    noteLoad(second, {0, 0, 2, 1.0}, now);
    EXPECT_LT(shareOfFirst(), 0.01);
    now += loadReportLifetime / 2;
    EXPECT_LT(shareOfFirst(), 0.1);
    now += loadReportLifetime / 2;
    EXPECT_NEAR(shareOfFirst(), 0.5, 0.01);
}

// Guards against a change for servers that state no pace.
TEST_F(ServerChoiceTest, ReportWithoutPaceLeavesTheMeasuredSlowness)
{
    noteReply(first, milliseconds(10), milliseconds(20), now);
    const double before = shareOfFirst();
    noteLoad(first, {0, 0, 2}, now);
    EXPECT_EQ(shareOfFirst(), before);
    EXPECT_GT(before, 0.6);
}

TEST_F(ServerChoiceTest, SlowServerRegainsItsShareAfterRecovery)
{
    for (int reply = 0; reply < 30; ++reply)
        noteReply(first, milliseconds(80), milliseconds(20), now);
    EXPECT_LT(shareOfFirst(), 0.02);
    for (int reply = 0; reply < 30; ++reply)
        noteReply(first, milliseconds(20), milliseconds(20), now);
    EXPECT_GT(shareOfFirst(), 0.45);
}

TEST_F(ServerChoiceTest, InfrequentSampleTakesFullEffectImmediately)
{
    noteReply(first, milliseconds(20), milliseconds(20), now);
    now += seconds(3);
    noteReply(first, milliseconds(80), milliseconds(20), now);
    EXPECT_LT(shareOfFirst(), 0.02);
    now += seconds(3);
    noteReply(first, milliseconds(20), milliseconds(20), now);
    EXPECT_GT(shareOfFirst(), 0.25);
}

TEST_F(ServerChoiceTest, CancelledRequestNeverLowersTheSlownessEstimate)
{
    noteReply(first, milliseconds(120), milliseconds(20), now);
    const double slownessBefore = decayedSlowness(first, now);
    noteCancelled(first, milliseconds(30), milliseconds(20), now);
    EXPECT_GE(decayedSlowness(first, now), slownessBefore);
    noteCancelled(first, milliseconds(200), milliseconds(20), now);
    EXPECT_GT(decayedSlowness(first, now), slownessBefore);
}

TEST_F(ServerChoiceTest, SlowServerIsTriedAgainLater)
{
    noteReply(first, milliseconds(120), milliseconds(20), now);
    EXPECT_LT(shareOfFirst(), 0.01);
    now += seconds(30);
    EXPECT_GT(shareOfFirst(), 0.2);
}

// Traffic between data centres costs money and adds latency, but a slow local server adds more.
TEST_F(ServerChoiceTest, LocalServerIsPreferredUntilItIsThreeTimesSlower)
{
    firstIsLocal = true;
    EXPECT_GT(shareOfFirst(), 0.93);
    first.slowness = 3;
    first.slownessUpdatedAt = now;
    EXPECT_LT(shareOfFirst(), 0.25);
}

TEST_F(ServerChoiceTest, EjectedServerIsChosenOnlyWithoutAlternative)
{
    noteConnectFailure(first, now);
    EXPECT_LT(shareOfFirst(), 0.01);
    const ServerCandidate onlyCandidate[] = {{0, &first, 0, 0}};
    EXPECT_EQ(chooseServer(onlyCandidate, now, 0), std::size_t{0});
    EXPECT_EQ(chooseServer({}, now, 0), std::nullopt);
}

TEST_F(ServerChoiceTest, OutdatedLoadReportIsIgnored)
{
    noteLoad(first, {2, 12, 2}, now);
    EXPECT_GT(reportedQueue(first, now), 5);
    EXPECT_EQ(reportedQueue(first, now + seconds(1)), 0);
}

} // namespace
