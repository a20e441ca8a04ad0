#include <oleander/reports/BurnReport.h>

#include <algorithm>
#include <map>

namespace oleander {

namespace {

/// A backend's report while daemons are added to it.
struct Merge
{
    BackendReport report;
    SectionVersion newest;
    bool isFirst = true;
};

void addObjectives(Merge &merge, const Objectives &objectives, SectionVersion version)
{
    if (!merge.isFirst && objectives != merge.report.objectives)
        merge.report.hasMixedObjectives = true;
    if (merge.isFirst || version > merge.newest) {
        merge.report.objectives = objectives;
        merge.newest = version;
    }
}

void addWindow(WindowReport &window, const WindowCounts &counts, bool isFirst)
{
    window.shortestReach = isFirst ? counts.reach : std::min(window.shortestReach, counts.reach);
    window.longestReach = std::max(window.longestReach, counts.reach);
    add(window.counts, counts.counts);
}

void addBackend(Merge &merge, const BackendBurn &burn, SectionVersion version)
{
    addObjectives(merge, burn.objectives, version);
    for (std::size_t index = 0; index < burnWindows.size(); ++index)
        addWindow(merge.report.windows.at(index), burn.windows.at(index), merge.isFirst);
    merge.isFirst = false;
}

void computeBudgets(BackendReport &report)
{
    for (WindowReport &window : report.windows) {
        const BurnCounts &counts = window.counts;
        window.latencyBurnt =
            budgetBurnt(counts.late, counts.queries, report.objectives.latencyGoal);
        window.coverageBurnt =
            budgetBurnt(counts.shardsMissing, counts.shardsAsked, report.objectives.coverageGoal);
    }
}

} // namespace

BurnReport mergeBurn(const std::vector<DaemonBurn> &daemons)
{
    BurnReport result;
    std::map<BackendId, Merge> merges;
    for (const DaemonBurn &daemon : daemons) {
        result.daemons.push_back(daemon.instance);
        for (const BackendBurn &burn : daemon.backends) {
            Merge &merge = merges[burn.backend];
            merge.report.backend = burn.backend;
            addBackend(merge, burn, daemon.configuration);
        }
    }
    for (auto &[backend, merge] : merges) {
        computeBudgets(merge.report);
        result.backends.push_back(std::move(merge.report));
    }
    return result;
}

bool isOverBudget(const BurnReport &report)
{
    const auto isSpent = [](const WindowReport &window) {
        return window.latencyBurnt >= 1 || window.coverageBurnt >= 1;
    };
    return std::ranges::any_of(report.backends, [&](const BackendReport &backend) {
        return std::ranges::any_of(backend.windows, isSpent);
    });
}

} // namespace oleander
