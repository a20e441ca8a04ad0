#include <oleander/adapters/metrics/BurnTracker.h>
#include <oleander/adapters/metrics/PrometheusText.h>
#include <oleander/adapters/metrics/QueryMetrics.h>

#include <gtest/gtest.h>

#include <thread>

using namespace oleander;

namespace {

class SettableViewSource : public ViewSource
{
public:
    void set(Duration objective, std::uint64_t version)
    {
        auto policies = std::make_shared<PolicySet>();
        policies->version = SectionVersion(version);
        policies->defaults.latencyObjective = objective;
        auto view = std::make_shared<FleetView>();
        view->policies = policies;
        for (const char *name : {"a", "b", "a\"b"}) {
            auto partition = std::make_shared<PartitionMap>();
            partition->backend = BackendId(name);
            view->partitions[ServiceId(name)] = partition;
        }
        m_view = view;
    }

    [[nodiscard]] std::shared_ptr<const FleetView> view() const override { return m_view; }

private:
    std::shared_ptr<const FleetView> m_view;
};

/// Timer service whose time only advances when the test calls advance().
class ManualTimerService : public TimerService
{
public:
    [[nodiscard]] TimePoint now() const override { return m_now; }
    [[nodiscard]] WallTime wallNow() const override { return {}; }
    Subscription callAfter(Duration /*delay*/, TimerCallback /*callback*/) override { return {}; }
    Subscription callEvery(Duration period, TimerCallback callback) override
    {
        m_period = period;
        m_callback = std::move(callback);
        return {};
    }
    void post(std::function<void()> /*task*/) override {}

    void advance(Duration by)
    {
        const TimePoint end = m_now + by;
        while (m_now + m_period <= end) {
            m_now += m_period;
            m_callback({m_now, m_now});
        }
        m_now = end;
    }

private:
    TimePoint m_now;
    Duration m_period{};
    TimerCallback m_callback;
};

Query queryOf(const std::string &backend)
{
    Query query;
    query.backend = BackendId(backend);
    return query;
}

Answer answerOf(int asked, int answered)
{
    Answer answer;
    answer.outcome = asked == answered ? Outcome::Answered : Outcome::Partial;
    answer.coverage.asked = asked;
    answer.coverage.answered = answered;
    return answer;
}

} // namespace

TEST(QueryMetrics, AddsThreadsUpWhileTheyCount)
{
    constexpr int threadCount = 4;
    constexpr std::uint64_t queriesEach = 20000;
    SettableViewSource views;
    views.set(milliseconds(64), 1);
    QueryMetrics metrics(views);
    std::vector<std::thread> threads;
    for (int index = 0; index < threadCount; ++index) {
        QueryObserver &observer = metrics.addThread();
        threads.emplace_back([&observer] {
            for (std::uint64_t count = 0; count < queriesEach; ++count) {
                const Duration latency = milliseconds(count % 2 == 0 ? 10 : 100);
                observer.onQueryFinished(queryOf(count % 4 < 2 ? "a" : "b"), answerOf(20, 19),
                                         latency);
                observer.onSubRequestFinished(
                    {ServiceId("s"), ServerId("x"), latency, ReplyKind::Ok, count % 10 == 0});
            }
        });
    }
    std::uint64_t last = 0;
    for (int read = 0; read < 50; ++read) {
        const MetricsTotals totals = metrics.totals();
        const auto found = totals.services.find(ServiceId("s"));
        const std::uint64_t now =
            found == totals.services.end() ? 0 : found->second.latencies.total();
        EXPECT_GE(now, last);
        last = now;
    }
    for (std::thread &thread : threads)
        thread.join();
    const MetricsTotals totals = metrics.totals();
    const BurnCounts &burn = totals.backends.at(BackendId("a")).burn;
    EXPECT_EQ(burn.queries, threadCount * queriesEach / 2);
    EXPECT_EQ(burn.late, threadCount * queriesEach / 4);
    EXPECT_EQ(burn.shardsMissing * 20, burn.shardsAsked);
    EXPECT_EQ(burn.latencies.total(), burn.queries);
    EXPECT_EQ(totals.services.at(ServiceId("s")).extra, threadCount * queriesEach / 10);
}

TEST(QueryMetrics, MeasuresEachQueryAgainstTheObjectiveInForceWhenItEnds)
{
    SettableViewSource views;
    views.set(milliseconds(64), 1);
    QueryMetrics metrics(views);
    QueryObserver &observer = metrics.addThread();
    observer.onQueryFinished(queryOf("a"), answerOf(1, 1), milliseconds(50));
    views.set(milliseconds(40), 2);
    observer.onQueryFinished(queryOf("a"), answerOf(1, 1), milliseconds(50));
    EXPECT_EQ(metrics.totals().backends.at(BackendId("a")).burn.late, 1U);
}

TEST(QueryMetrics, UnpublishedBackendNamesShareOneCounter)
{
    SettableViewSource views;
    views.set(milliseconds(64), 1);
    QueryMetrics metrics(views);
    QueryObserver &observer = metrics.addThread();
    for (int index = 0; index < 5000; ++index)
        observer.onQueryFinished(queryOf("made-up-" + std::to_string(index)),
                                 refusal(ErrorKind::Stopping, ""), Duration(1));
    observer.onQueryFinished(queryOf("a"), answerOf(1, 1), Duration(1));
    const MetricsTotals totals = metrics.totals();
    ASSERT_EQ(totals.backends.size(), 2U);
    const BackendTotals &unknown = totals.backends.at(BackendId("unknown"));
    EXPECT_EQ(unknown.outcomes[static_cast<std::size_t>(Outcome::Refused)], 5000U);
    EXPECT_EQ(unknown.burn.queries, 0U);
    EXPECT_EQ(totals.backends.at(BackendId("a")).burn.queries, 1U);
}

TEST(PrometheusText, HasCumulativeBucketsInSeconds)
{
    SettableViewSource views;
    views.set(milliseconds(64), 1);
    QueryMetrics metrics(views);
    QueryObserver &observer = metrics.addThread();
    observer.onQueryFinished(queryOf("a\"b"), answerOf(20, 19), milliseconds(64));
    observer.onQueryFinished(queryOf("a\"b"), refusal(ErrorKind::Overloaded, ""), seconds(90));
    const std::vector<UnlabelledMetric> gauges{{"connections", "Open connections.", 3}};
    const std::string page = prometheusText(metrics.totals(), gauges);
    const std::vector<std::string> expected{
        "# TYPE oleanderway_query_latency_seconds histogram\n",
        "oleanderway_query_latency_seconds_bucket{backend=\"a\\\"b\",le=\"0.032\"} 0\n",
        "oleanderway_query_latency_seconds_bucket{backend=\"a\\\"b\",le=\"0.064\"} 1\n",
        "oleanderway_query_latency_seconds_bucket{backend=\"a\\\"b\",le=\"65.536\"} 1\n",
        "oleanderway_query_latency_seconds_bucket{backend=\"a\\\"b\",le=\"+Inf\"} 2\n",
        "oleanderway_queries_total{backend=\"a\\\"b\",outcome=\"partial\"} 1\n",
        "oleanderway_query_errors_total{backend=\"a\\\"b\",error=\"overloaded\"} 1\n",
        "oleanderway_shards_missing_total{backend=\"a\\\"b\"} 1\n",
        "oleanderway_connections 3\n",
    };
    for (const std::string &line : expected)
        EXPECT_NE(page.find(line), std::string::npos) << line << page;
}

TEST(BurnTracker, ReportsCountsAndCoveredTimeOfEachWindow)
{
    SettableViewSource views;
    views.set(milliseconds(64), 9);
    QueryMetrics metrics(views);
    QueryObserver &observer = metrics.addThread();
    ManualTimerService timers;
    BurnTracker keeper(metrics, views, timers, InstanceId("i"));
    timers.advance(seconds(15));
    observer.onQueryFinished(queryOf("a"), answerOf(20, 20), milliseconds(100));
    timers.advance(std::chrono::minutes(10));
    observer.onQueryFinished(queryOf("a"), answerOf(20, 20), milliseconds(10));
    const DaemonBurn burn = keeper.burn();
    ASSERT_EQ(burn.backends.size(), 1U);
    EXPECT_EQ(burn.configuration, SectionVersion(9));
    const auto &windows = burn.backends.front().windows;
    EXPECT_EQ(windows[0].counts.queries, 1U);
    EXPECT_EQ(windows[0].counts.late, 0U);
    EXPECT_EQ(windows[1].counts.queries, 2U);
    EXPECT_EQ(windows[1].counts.late, 1U);
    EXPECT_EQ(windows[0].reach, std::chrono::minutes(5));
    EXPECT_EQ(windows[3].reach, std::chrono::minutes(10) + seconds(15));
}
