#pragma once

#include <oleander/reports/DaemonBurn.h>

#include <array>
#include <vector>

namespace oleander {

/// One window of one backend, added up over daemons.
struct WindowReport
{
    /// How far the memory of the daemons reaches back; they differ where some started later.
    Duration shortestReach{};
    Duration longestReach{};
    BurnCounts counts;
    /// Parts of the budgets that are spent; 1 is the whole budget.
    double latencyBurnt = 0;
    double coverageBurnt = 0;
};

/// One backend, added up over daemons.
struct BackendReport
{
    BackendId backend;
    /// Of the daemon with the newest configuration.
    Objectives objectives;
    /// True while daemons hold configurations with different objectives.
    bool hasMixedObjectives = false;
    std::array<WindowReport, burnWindows.size()> windows;
};

/// What the daemons that answered saw together.
struct BurnReport
{
    std::vector<InstanceId> daemons;
    /// In order of name.
    std::vector<BackendReport> backends;
};

/// Adds the daemons up. A daemon that does not know a backend took no query for it.
BurnReport mergeBurn(const std::vector<DaemonBurn> &daemons);

/// Whether a budget is spent in some window.
bool isOverBudget(const BurnReport &report);

} // namespace oleander
