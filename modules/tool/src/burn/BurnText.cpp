#include "burn/BurnWords.h"
#include "commands/TextTable.h"

#include <oleander/tool/BurnPage.h>

#include <array>
#include <sstream>

namespace oleander {

namespace {

/// A unit of time and how many seconds it has.
struct TimeUnit
{
    std::string_view name;
    std::int64_t length;
};

constexpr std::array timeUnits{
    TimeUnit{"d", 86400},
    TimeUnit{"h", 3600},
    TimeUnit{"min", 60},
    TimeUnit{"s", 1},
};

constexpr double percentWhole = 100;

std::string fixedText(double value, int decimals)
{
    std::ostringstream stream;
    stream.setf(std::ios::fixed);
    stream.precision(decimals);
    stream << value;
    return stream.str();
}

void addRows(const BackendReport &backend, std::vector<std::vector<std::string>> &rows)
{
    for (std::size_t index = 0; index < burnWindows.size(); ++index) {
        const WindowReport &window = backend.windows.at(index);
        rows.push_back(
            {backend.backend.text(), std::string(burnWindows.at(index).name), reachText(window),
             std::to_string(window.counts.queries), std::to_string(window.counts.late),
             millisecondText(window.counts.latencies.quantile(0.5)),
             millisecondText(window.counts.latencies.quantile(0.99)),
             percentText(window.latencyBurnt), std::to_string(window.counts.shardsMissing),
             percentText(window.coverageBurnt)});
    }
}

} // namespace

std::string durationText(Duration duration)
{
    std::int64_t rest = std::chrono::duration_cast<seconds>(duration).count();
    std::string text;
    int shown = 0;
    for (const TimeUnit &unit : timeUnits) {
        const std::int64_t count = rest / unit.length;
        rest -= count * unit.length;
        if (count == 0 || shown == 2)
            continue;
        text += text.empty() ? "" : " ";
        text += std::to_string(count) + " " + std::string(unit.name);
        ++shown;
    }
    return text.empty() ? "0 s" : text;
}

std::string percentText(double share)
{
    return fixedText(share * percentWhole, 1) + "%";
}

std::string perMilleText(PerMille share)
{
    constexpr double perMilleInPercent = 10;
    return fixedText(share.value / perMilleInPercent, 1) + "%";
}

std::string millisecondText(Duration duration)
{
    return fixedText(inMilliseconds(duration), 1);
}

std::string reachText(const WindowReport &window)
{
    const std::string longest = durationText(window.longestReach);
    if (window.shortestReach == window.longestReach)
        return longest;
    return durationText(window.shortestReach) + " to " + longest;
}

std::string goalText(const BackendReport &backend)
{
    const Objectives &objectives = backend.objectives;
    std::string text = perMilleText(objectives.latencyGoal) + " of answers within "
                       + millisecondText(objectives.latency) + " ms, "
                       + perMilleText(objectives.coverageGoal) + " of shards covered";
    if (backend.hasMixedObjectives)
        text += " (some daemons still hold other objectives)";
    return text;
}

std::string burnText(const BurnDocument &document)
{
    std::ostringstream out;
    out << document.report.daemons.size() << " daemons\n";
    for (const BackendReport &backend : document.report.backends)
        out << backend.backend << ": " << goalText(backend) << '\n';
    std::vector<std::vector<std::string>> rows{{"BACKEND", "WINDOW", "REACH", "QUERIES", "LATE",
                                                "P50 MS", "P99 MS", "LATENCY BURNT",
                                                "SHARDS MISSING", "COVERAGE BURNT"}};
    for (const BackendReport &backend : document.report.backends)
        addRows(backend, rows);
    out << '\n';
    writeTable(out, rows);
    for (const std::string &fault : document.unread)
        out << "not read: " << fault << '\n';
    return out.str();
}

} // namespace oleander
