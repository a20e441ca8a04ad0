#include <oleander/tool/BurnPage.h>

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

using nlohmann::json;

std::int64_t wholeSeconds(Duration duration)
{
    return std::chrono::duration_cast<seconds>(duration).count();
}

json windowJson(std::size_t index, const WindowReport &window)
{
    const LatencyHistogram &latencies = window.counts.latencies;
    return {{"window", std::string(burnWindows.at(index).name)},
            {"windowS", wholeSeconds(burnWindows.at(index).length)},
            {"shortestReachS", wholeSeconds(window.shortestReach)},
            {"longestReachS", wholeSeconds(window.longestReach)},
            {"queries", window.counts.queries},
            {"late", window.counts.late},
            {"shardsAsked", window.counts.shardsAsked},
            {"shardsMissing", window.counts.shardsMissing},
            {"p50Ms", inMilliseconds(latencies.quantile(0.5))},
            {"p99Ms", inMilliseconds(latencies.quantile(0.99))},
            {"p999Ms", inMilliseconds(latencies.quantile(0.999))},
            {"latencyBudgetBurnt", window.latencyBurnt},
            {"coverageBudgetBurnt", window.coverageBurnt}};
}

json backendJson(const BackendReport &backend)
{
    json windows = json::array();
    for (std::size_t index = 0; index < burnWindows.size(); ++index)
        windows.push_back(windowJson(index, backend.windows.at(index)));
    return {{"backend", backend.backend.text()},
            {"latencyObjectiveMs", inMilliseconds(backend.objectives.latency)},
            {"latencyGoalPerMille", backend.objectives.latencyGoal.value},
            {"coverageGoalPerMille", backend.objectives.coverageGoal.value},
            {"mixedObjectives", backend.hasMixedObjectives},
            {"windows", windows}};
}

} // namespace

std::string burnJson(const BurnDocument &document)
{
    json daemons = json::array();
    for (const InstanceId &instance : document.report.daemons)
        daemons.push_back(instance.text());
    json backends = json::array();
    for (const BackendReport &backend : document.report.backends)
        backends.push_back(backendJson(backend));
    const json result{{"daemons", daemons}, {"notRead", document.unread}, {"backends", backends}};
    return result.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace oleander
