#include <oleander/bench/LatencyHistogram.h>
#include <oleander/bench/Report.h>
#include <oleander/bench/Scenario.h>

#include <gtest/gtest.h>

#include <filesystem>
#include <set>

using namespace oleander;
using namespace oleander::bench;

TEST(Scenario, NamesAreUniqueAndReadBack)
{
    std::set<std::string> names;
    for (const auto &run : listRuns(false)) {
        Reason reason;
        const auto again = runNamed(run.text(), reason);
        ASSERT_TRUE(again) << reason.text;
        EXPECT_EQ(again->text(), run.text());
        EXPECT_TRUE(names.insert(run.text()).second) << run.text();
    }
    Reason reason;
    EXPECT_FALSE(runNamed("amms/unheard-of/policy", reason));
    EXPECT_FALSE(runNamed("amms", reason));
}

TEST(Scenario, EveryRunCanBePrepared)
{
    const auto folder = std::filesystem::path(::testing::TempDir()) / "oleander-scenarios";
    RunSettings settings;
    settings.folder = folder.string();
    for (const auto &run : listRuns(false)) {
        Reason reason;
        std::filesystem::remove_all(folder);
        const auto plan = prepareRun(run, settings, reason);
        ASSERT_TRUE(plan) << run.text() << ": " << reason.text;
        const auto again = parseLoadPlan(loadPlanText(*plan), reason);
        ASSERT_TRUE(again) << reason.text;
        EXPECT_EQ(loadPlanText(*again), loadPlanText(*plan));
        EXPECT_EQ(plan->classes.front().shards.size(), 20U);
    }
    std::filesystem::remove_all(folder);
}

TEST(LatencyHistogram, QuantilesAreWithinABin)
{
    LatencyHistogram histogram;
    for (int number = 1; number <= 1000; ++number)
        histogram.add(milliseconds(number));
    EXPECT_NEAR(inMilliseconds(histogram.quantile(PerMille{500})), 500, 6);
    EXPECT_NEAR(inMilliseconds(histogram.quantile(PerMille{990})), 990, 11);
    EXPECT_EQ(LatencyHistogram().quantile(PerMille{990}), Duration{});
}

TEST(Report, MissedTargetsAreCalledMissed)
{
    RunFigures policy;
    policy.customer = "amms";
    policy.scenario = "stragglers-60";
    policy.variant = "policy";
    policy.p99Ms = 80;
    auto none = policy;
    none.variant = "none";
    none.p99Ms = 300;
    const auto text = reportText({}, {policy, none});
    EXPECT_NE(text.find("80.0 ms, coverage 0.00 % | **missed**"), std::string::npos) << text;
    EXPECT_NE(text.find("3.8 times | met"), std::string::npos) << text;
}
