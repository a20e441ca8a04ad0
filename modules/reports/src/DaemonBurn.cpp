#include <oleander/reports/DaemonBurn.h>

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace oleander {

namespace {

using nlohmann::json;

json histogramJson(const LatencyHistogram &histogram)
{
    json pairs = json::array();
    const std::vector<std::uint64_t> counts = histogram.counts();
    for (std::size_t bin = 0; bin < counts.size(); ++bin) {
        if (counts[bin] > 0)
            pairs.push_back({bin, counts[bin]});
    }
    return pairs;
}

json windowJson(std::size_t window, const WindowCounts &counts)
{
    return {{"window", std::string(burnWindows[window].name)},
            {"reachS", std::chrono::duration_cast<seconds>(counts.reach).count()},
            {"queries", counts.counts.queries},
            {"late", counts.counts.late},
            {"shardsAsked", counts.counts.shardsAsked},
            {"shardsMissing", counts.counts.shardsMissing},
            {"latencyBins", histogramJson(counts.counts.latencies)}};
}

json backendJson(const BackendBurn &burn)
{
    json windows = json::array();
    for (std::size_t window = 0; window < burnWindows.size(); ++window)
        windows.push_back(windowJson(window, burn.windows[window]));
    return {{"backend", burn.backend.text()},
            {"latencyObjectiveUs", burn.objectives.latency.count()},
            {"latencyGoalPerMille", burn.objectives.latencyGoal.value},
            {"coverageGoalPerMille", burn.objectives.coverageGoal.value},
            {"windows", windows}};
}

LatencyHistogram histogramFrom(const json &pairs)
{
    std::vector<std::uint64_t> counts(LatencyHistogram::binCount(), 0);
    for (const json &pair : pairs)
        counts.at(pair.at(0).get<std::size_t>()) = pair.at(1).get<std::uint64_t>();
    return LatencyHistogram::fromCounts(counts).value();
}

WindowCounts windowFrom(const json &value)
{
    WindowCounts result;
    result.reach = seconds(value.at("reachS").get<std::int64_t>());
    result.counts.queries = value.at("queries").get<std::uint64_t>();
    result.counts.late = value.at("late").get<std::uint64_t>();
    result.counts.shardsAsked = value.at("shardsAsked").get<std::uint64_t>();
    result.counts.shardsMissing = value.at("shardsMissing").get<std::uint64_t>();
    result.counts.latencies = histogramFrom(value.at("latencyBins"));
    return result;
}

/// A goal that leaves a budget; anything else is treated like text that is no burn document.
PerMille goalFrom(const json &value)
{
    constexpr std::uint32_t largest = 999;
    const auto goal = value.get<std::uint32_t>();
    if (goal > largest)
        throw std::out_of_range("a goal must be at most 999");
    return PerMille{goal};
}

BackendBurn backendFrom(const json &value)
{
    BackendBurn result;
    result.backend = BackendId(value.at("backend").get<std::string>());
    result.objectives.latency = Duration(value.at("latencyObjectiveUs").get<std::int64_t>());
    result.objectives.latencyGoal = goalFrom(value.at("latencyGoalPerMille"));
    result.objectives.coverageGoal = goalFrom(value.at("coverageGoalPerMille"));
    for (std::size_t window = 0; window < burnWindows.size(); ++window)
        result.windows.at(window) = windowFrom(value.at("windows").at(window));
    return result;
}

} // namespace

std::string toJson(const DaemonBurn &burn)
{
    json backends = json::array();
    for (const BackendBurn &backend : burn.backends)
        backends.push_back(backendJson(backend));
    const json document{{"instance", burn.instance.text()},
                        {"configuration", burn.configuration.value()},
                        {"backends", backends}};
    return document.dump();
}

std::optional<DaemonBurn> parseDaemonBurn(std::string_view text, Reason &reason)
{
    try {
        const json document = json::parse(text);
        DaemonBurn burn;
        burn.instance = InstanceId(document.at("instance").get<std::string>());
        burn.configuration = SectionVersion(document.at("configuration").get<std::uint64_t>());
        for (const json &backend : document.at("backends"))
            burn.backends.push_back(backendFrom(backend));
        return burn;
    } catch (const json::exception &error) {
        reason.set(ErrorKind::BadRequest, std::string("no burn document: ") + error.what());
    } catch (const std::out_of_range &error) {
        reason.set(ErrorKind::BadRequest, std::string("no burn document: ") + error.what());
    }
    return std::nullopt;
}

} // namespace oleander
