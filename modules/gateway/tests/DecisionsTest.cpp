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

// Requests, quiet times and wishes for extra sendings come at random. The window is looked at where
// it is fullest, not where the budget counts it.
RC_GTEST_PROP(ExtraBudget, NoWindowSeesMoreThanItsShareAndTheAllowance, ())
{
    ExtraBudgetRules rules;
    rules.share = 0.2;
    rules.allowance = *rc::gen::inRange(0, 40) / 4.0;
    ExtraBudget budget;
    std::vector<TimePoint> firsts;
    std::vector<TimePoint> extras;
    TimePoint now{};
    const int steps = *rc::gen::inRange(1, 400);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(*rc::gen::weightedElement<int>({{8, 20}, {2, 700}, {1, 9000}}));
        if (*rc::gen::inRange(0, 2) == 0) {
            budget.noteFirstAttempt(rules, now);
            firsts.push_back(now);
        }
        const auto kind = *rc::gen::element(ExtraAttemptKind::Retry, ExtraAttemptKind::Hedge);
        if (!budget.takeExtra(rules, kind, now))
            continue;
        extras.push_back(now);
        const auto isInWindow = [&](TimePoint time) { return time > now - rules.window; };
        const auto earned =
            rules.share * static_cast<double>(std::ranges::count_if(firsts, isInWindow));
        RC_ASSERT(static_cast<double>(std::ranges::count_if(extras, isInWindow))
                  <= earned + rules.allowance + 1e-9);
    }
}

/// Extra sendings that are given at one moment, to one who takes all of a kind.
int takeAll(ExtraBudget &budget, const ExtraBudgetRules &rules, ExtraAttemptKind kind,
            TimePoint now)
{
    int taken = 0;
    while (budget.takeExtra(rules, kind, now))
        ++taken;
    return taken;
}

// An instance that sends few requests must be able to use what it has when a server stands still,
// without saving for it.
TEST(ExtraBudget, WholeShareAndAllowanceCanBeUsedAtOnce)
{
    ExtraBudgetRules rules;
    rules.share = 0.2;
    rules.allowance = 3;
    ExtraBudget budget;
    const TimePoint later(rules.window);
    for (int request = 0; request < 5; ++request)
        budget.noteFirstAttempt(rules, later);
    EXPECT_EQ(takeAll(budget, rules, ExtraAttemptKind::Retry, later), 3);
    EXPECT_EQ(takeAll(budget, rules, ExtraAttemptKind::Retry, later + rules.window / 2), 0);
    EXPECT_EQ(takeAll(budget, rules, ExtraAttemptKind::Retry, later + 2 * rules.window), 2);
}

TEST(ExtraBudget, ProcessThatHasJustStartedHasAPartOfTheAllowance)
{
    ExtraBudgetRules rules;
    rules.share = 0.2;
    rules.allowance = 10;
    const TimePoint start = TimePoint{} + seconds(100);
    ExtraBudget budget(start);
    EXPECT_EQ(takeAll(budget, rules, ExtraAttemptKind::Retry, start), 2);
    for (int request = 0; request < 5; ++request)
        budget.noteFirstAttempt(rules, start);
    EXPECT_EQ(takeAll(budget, rules, ExtraAttemptKind::Retry, start + seconds(1)), 1);
    EXPECT_EQ(takeAll(budget, rules, ExtraAttemptKind::Retry, start + 2 * rules.window), 8);
}

// The sizes of the grown deployment: each instance has less than three extra sendings in a window.
// All take what they can, lose power at the same moment, and go on.
TEST(ExtraBudget, FleetStaysWithinItsAllowanceAlsoWhenAllInstancesStartAnew)
{
    constexpr int instances = 98;
    constexpr double fleetsAllowance = 260;
    constexpr double fleetsShare = 0.2;
    constexpr auto step = milliseconds(50);
    ExtraBudgetRules rules;
    rules.allowance = 0.9 * fleetsAllowance / instances;
    rules.randomAllowance = 1;
    const TimePoint lossOfPower = TimePoint{} + seconds(25);
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<ExtraBudget> budgets;
    budgets.reserve(instances);
    for (int number = 0; number < instances; ++number)
        budgets.emplace_back(TimePoint{}, draw(random));
    std::vector<TimePoint> firsts;
    std::vector<TimePoint> extras;
    for (TimePoint now{}; now < TimePoint{} + seconds(50); now += step) {
        for (ExtraBudget &budget : budgets) {
            if (now == lossOfPower)
                budget = ExtraBudget(now, draw(random));
            if (draw(random) < 0.0225) {
                budget.noteFirstAttempt(rules, now);
                firsts.push_back(now);
            }
            while (budget.takeExtra(rules, ExtraAttemptKind::Retry, now))
                extras.push_back(now);
        }
    }
    for (TimePoint from{}; from < TimePoint{} + seconds(40); from += step) {
        const auto isInWindow = [&](TimePoint time) {
            return time >= from && time < from + rules.window;
        };
        EXPECT_LE(static_cast<double>(std::ranges::count_if(extras, isInWindow)),
                  fleetsShare * static_cast<double>(std::ranges::count_if(firsts, isInWindow))
                      + fleetsAllowance);
    }
    // What is rounded down in each instance comes to the fleet all the same.
    const auto isLate = [](TimePoint time) { return time >= TimePoint{} + seconds(40); };
    EXPECT_GE(static_cast<double>(std::ranges::count_if(extras, isLate)), 0.8 * fleetsAllowance);
}

TEST(ExtraBudget, HedgesLeaveTheirRestToRetries)
{
    ExtraBudgetRules rules;
    rules.allowance = 5;
    rules.maximumHedgeShare = 0.5;
    ExtraBudget budget;
    const TimePoint later(rules.window);
    EXPECT_EQ(takeAll(budget, rules, ExtraAttemptKind::Hedge, later), 2);
    EXPECT_EQ(takeAll(budget, rules, ExtraAttemptKind::Retry, later), 2);
}

TEST(FleetSize, IsUnknownAloneAndNeverFalls)
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

TEST(RecordMerge, RemainderIsNoRecordAndEqualRecordsAllCount)
{
    const std::string low(recordBytes, 'a');
    const std::string high(recordBytes, '\xff');
    const std::string first = low + high + "rest";
    const std::string_view parts[] = {first, high};
    EXPECT_EQ(greatestRecords(parts, 3), high + high + low);
    EXPECT_EQ(greatestRecords(parts, 2), high + high);
    EXPECT_EQ(greatestRecords(parts, 0), "");
}

RC_GTEST_PROP(RecordMerge, IsTheBeginningOfAllRecordsSorted, ())
{
    const auto raw = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'd')));
    const auto limit = *rc::gen::inRange<std::size_t>(0, 30);
    std::vector<std::string> records;
    std::vector<std::string_view> parts;
    for (const std::string &part : raw) {
        parts.emplace_back(part);
        for (std::size_t offset = 0; offset + recordBytes <= part.size(); offset += recordBytes)
            records.push_back(part.substr(offset, recordBytes));
    }
    std::ranges::sort(records, std::greater<>());
    std::string expected;
    for (std::size_t index = 0; index < std::min(limit, records.size()); ++index)
        expected += records[index];
    RC_ASSERT(greatestRecords(parts, limit) == expected);
}

struct ServerChoice : ::testing::Test
{
    /// Share of choices that fall on the first of two servers.
    double shareOfFirst()
    {
        const ServerCandidate candidates[] = {{0, &first, 0, firstAge, firstIsNear},
                                              {1, &second, 0, 0}};
        constexpr int draws = 1000;
        int chosen = 0;
        for (int draw = 0; draw < draws; ++draw) {
            const auto random = ~std::uint64_t{0} / draws * static_cast<std::uint64_t>(draw);
            chosen += chooseServer(candidates, now, random) == std::size_t{0} ? 1 : 0;
        }
        return static_cast<double>(chosen) / draws;
    }

    TimePoint now{seconds(10)};
    ServerScore first;
    ServerScore second;
    double firstAge = 0;
    bool firstIsNear = false;
};

TEST_F(ServerChoice, EqualServersShareEqually)
{
    EXPECT_NEAR(shareOfFirst(), 0.5, 0.01);
}

TEST_F(ServerChoice, ServerThatStandsStillGetsAlmostNothing)
{
    firstAge = 4;
    EXPECT_LT(shareOfFirst(), 0.05);
}

TEST_F(ServerChoice, SlowServerGetsAFewRequestsThatShowItsRecovery)
{
    for (int reply = 0; reply < 30; ++reply)
        noteReply(first, milliseconds(80), milliseconds(20), now);
    EXPECT_LT(shareOfFirst(), 0.02);
    for (int reply = 0; reply < 30; ++reply)
        noteReply(first, milliseconds(20), milliseconds(20), now);
    EXPECT_GT(shareOfFirst(), 0.45);
}

TEST_F(ServerChoice, SampleThatComesRarelyIsBelievedAtOnce)
{
    noteReply(first, milliseconds(20), milliseconds(20), now);
    now += seconds(3);
    noteReply(first, milliseconds(80), milliseconds(20), now);
    EXPECT_LT(shareOfFirst(), 0.02);
    now += seconds(3);
    noteReply(first, milliseconds(20), milliseconds(20), now);
    EXPECT_GT(shareOfFirst(), 0.25);
}

TEST_F(ServerChoice, RequestThatWasStoppedNeverMakesItsServerLookFaster)
{
    noteReply(first, milliseconds(120), milliseconds(20), now);
    const double before = decayedSlowness(first, now);
    noteCancelled(first, milliseconds(30), milliseconds(20), now);
    EXPECT_GE(decayedSlowness(first, now), before);
    noteCancelled(first, milliseconds(200), milliseconds(20), now);
    EXPECT_GT(decayedSlowness(first, now), before);
}

TEST_F(ServerChoice, ServerThatWasSlowIsTriedAgainLater)
{
    noteReply(first, milliseconds(120), milliseconds(20), now);
    EXPECT_LT(shareOfFirst(), 0.01);
    now += seconds(30);
    EXPECT_GT(shareOfFirst(), 0.2);
}

// Bytes between data centres cost, and a caller waits longer for them, but not for long.
TEST_F(ServerChoice, ServerOfTheOwnDataCentreIsPreferredUntilItIsThreeTimesAsSlow)
{
    firstIsNear = true;
    EXPECT_GT(shareOfFirst(), 0.93);
    first.slowness = 3;
    first.slownessUpdatedAt = now;
    EXPECT_LT(shareOfFirst(), 0.25);
}

TEST_F(ServerChoice, AvoidedServerIsChosenOnlyWithoutAnother)
{
    noteConnectFailure(first, now);
    EXPECT_LT(shareOfFirst(), 0.01);
    const ServerCandidate alone[] = {{0, &first, 0, 0}};
    EXPECT_EQ(chooseServer(alone, now, 0), std::size_t{0});
    EXPECT_EQ(chooseServer({}, now, 0), std::nullopt);
}

TEST_F(ServerChoice, OldReportOfLoadSaysNothing)
{
    noteLoad(first, {2, 12, 2}, now);
    EXPECT_GT(reportedQueue(first, now), 5);
    EXPECT_EQ(reportedQueue(first, now + seconds(1)), 0);
}

} // namespace
