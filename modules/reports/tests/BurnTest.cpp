#include <oleander/reports/BurnHistory.h>
#include <oleander/reports/BurnReport.h>
#include <oleander/reports/DaemonBurn.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oleander;

namespace {

BurnCounts countsOf(std::uint64_t queries, std::uint64_t late, Duration latency)
{
    BurnCounts counts;
    counts.queries = queries;
    counts.late = late;
    counts.shardsAsked = queries * 20;
    counts.latencies.add(latency, queries);
    return counts;
}

} // namespace

TEST(LatencyHistogram, PowersOfTwoInMillisecondsAreEdgesAndBelongToTheBinBelow)
{
    for (std::int64_t ms = 1; ms <= 32768; ms *= 2) {
        const Duration edge = milliseconds(ms);
        EXPECT_EQ(LatencyHistogram::upperEdge(LatencyHistogram::binOf(edge)), edge);
        EXPECT_EQ(LatencyHistogram::binOf(edge + microseconds(1)),
                  LatencyHistogram::binOf(edge) + 1);
    }
}

RC_GTEST_PROP(LatencyHistogram, AQuantileIsNeverTooSmallAndAtMostANinthTooLarge, ())
{
    auto latencies = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange(100, 60000000)));
    LatencyHistogram histogram;
    for (const std::int64_t latency : latencies)
        histogram.add(Duration(latency));
    std::sort(latencies.begin(), latencies.end());
    const std::size_t rank = (latencies.size() + 1) / 2;
    const std::int64_t median = latencies[rank - 1];
    const std::int64_t reported = histogram.quantile(0.5).count();
    RC_ASSERT(reported + 1 >= median);
    RC_ASSERT(reported <= median + median / 9 + 1);
}

RC_GTEST_PROP(LatencyHistogram, MergingCountsEachLatencyOnce, ())
{
    const auto latencies =
        *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange(0, 100000000));
    LatencyHistogram whole;
    std::array<LatencyHistogram, 3> parts;
    for (std::size_t index = 0; index < latencies.size(); ++index) {
        whole.add(Duration(latencies[index]));
        parts[index % parts.size()].add(Duration(latencies[index]));
    }
    LatencyHistogram merged;
    for (const LatencyHistogram &part : parts)
        merged.merge(part);
    RC_ASSERT(merged == whole);
    merged.subtract(whole);
    RC_ASSERT(merged.total() == 0U);
}

TEST(BurnCounts, ABudgetIsBurntWhenTheGoalIsJustMet)
{
    EXPECT_DOUBLE_EQ(budgetBurnt(10, 1000, PerMille{990}), 1.0);
    EXPECT_DOUBLE_EQ(budgetBurnt(5, 1000, PerMille{999}), 5.0);
    EXPECT_DOUBLE_EQ(budgetBurnt(0, 0, PerMille{999}), 0.0);
}

TEST(BurnCounts, RefusalsAreLateAndTheCallersOwnFaultsDoNotCount)
{
    EXPECT_TRUE(isLate(Outcome::Refused, Duration(1), milliseconds(64)));
    EXPECT_TRUE(isLate(Outcome::Unknown, Duration(1), milliseconds(64)));
    EXPECT_FALSE(isLate(Outcome::Partial, milliseconds(64), milliseconds(64)));
    EXPECT_TRUE(isLate(Outcome::Answered, milliseconds(64) + Duration(1), milliseconds(64)));
    EXPECT_FALSE(isCounted(ErrorKind::UnknownBackend));
    EXPECT_FALSE(isCounted(ErrorKind::Cancelled));
    EXPECT_TRUE(isCounted(ErrorKind::None));
    EXPECT_TRUE(isCounted(ErrorKind::Overloaded));
    EXPECT_TRUE(isCounted(ErrorKind::CrashSuspected));
}

TEST(BurnHistory, EachWindowForgetsAfterItsLengthAndSaysHowFarItReaches)
{
    const TimePoint start{};
    BurnHistory history = makeHistory(start);
    TimePoint now = start + burnTick;
    advance(history, now, countsOf(100, 1, milliseconds(10)));
    EXPECT_EQ(countsOver(history, 3, now).reach, burnTick);
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        const TimePoint before = start + burnTick + burnWindows[window].length - Duration(1);
        advance(history, before, {});
        EXPECT_EQ(countsOver(history, window, before).counts.queries, 100U);
        advance(history, before + Duration(1), {});
        EXPECT_EQ(countsOver(history, window, before + Duration(1)).counts.queries, 0U);
        EXPECT_EQ(countsOver(history, window, before).reach, burnWindows[window].length);
    }
}

RC_GTEST_PROP(BurnHistory, ASlotIsTheOnlyErrorAndMemoryIsBounded, ())
{
    const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 4000));
    BurnHistory history = makeHistory(TimePoint{});
    std::vector<TimePoint> times;
    TimePoint now{};
    for (const int gap : gaps) {
        now += seconds(gap);
        advance(history, now, countsOf(1, 0, milliseconds(1)));
        times.push_back(now);
    }
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        const Duration length = burnWindows[window].length;
        const Duration slot = length / burnSlotsEachWindow;
        std::uint64_t surely = 0;
        std::uint64_t perhaps = 0;
        for (const TimePoint time : times) {
            surely += time > now - length ? 1 : 0;
            perhaps += time > now - length - slot ? 1 : 0;
        }
        const std::uint64_t counted = countsOver(history, window, now).counts.queries;
        RC_ASSERT(counted >= surely);
        RC_ASSERT(counted <= perhaps);
        RC_ASSERT(history.rings[window].size() <= std::size_t{burnSlotsEachWindow} + 2);
    }
}

TEST(DaemonBurn, SurvivesJsonAndRefusesWhatIsNoBurnDocument)
{
    DaemonBurn burn;
    burn.instance = InstanceId("i");
    burn.configuration = SectionVersion(3);
    burn.backends.push_back({BackendId("b"), objectivesOf(Policy{}), {}});
    burn.backends.front().windows[1] = {seconds(9), countsOf(7, 2, milliseconds(80))};
    Reason reason;
    EXPECT_EQ(parseDaemonBurn(toJson(burn), reason), burn) << reason.text;
    EXPECT_FALSE(parseDaemonBurn("[]", reason));
    EXPECT_FALSE(
        parseDaemonBurn(R"({"instance": "i", "configuration": 1, "backends": [1]})", reason));
    std::string badBin = toJson(burn);
    badBin.replace(badBin.find("[["), 2, "[[99");
    EXPECT_FALSE(parseDaemonBurn(badBin, reason));
}

TEST(BurnReport, AddsDaemonsUpAndTakesTheNewestObjectives)
{
    DaemonBurn first;
    first.configuration = SectionVersion(2);
    first.backends.push_back({BackendId("b"), {milliseconds(64), {990}, {999}}, {}});
    first.backends.front().windows[0] = {seconds(200), countsOf(900, 3, milliseconds(10))};
    DaemonBurn second = first;
    second.configuration = SectionVersion(3);
    second.backends.front().objectives.latencyGoal = PerMille{980};
    second.backends.front().windows[0] = {seconds(300), countsOf(100, 17, milliseconds(100))};
    const BurnReport report = mergeBurn({first, second});
    ASSERT_EQ(report.backends.size(), 1U);
    const BackendReport &backend = report.backends.front();
    EXPECT_TRUE(backend.hasMixedObjectives);
    EXPECT_EQ(backend.windows[0].counts.latencies.total(), 1000U);
    EXPECT_EQ(backend.windows[0].shortestReach, seconds(200));
    EXPECT_EQ(backend.windows[0].longestReach, seconds(300));
    EXPECT_DOUBLE_EQ(backend.windows[0].latencyBurnt, 1.0);
    EXPECT_TRUE(isOverBudget(report));
    EXPECT_FALSE(isOverBudget(mergeBurn({first})));
}
