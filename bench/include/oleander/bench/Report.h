#pragma once

#include <oleander/core/Reason.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleander::bench {

/// Where and how the runs were made.
struct ReportHeader
{
    std::string machine;
    std::string commit;
    std::string command;
    std::string seed;
    std::string started;
};

/// One run's figures, read from the load tool's result. Counts are of the measured time.
struct RunFigures
{
    std::string customer;
    std::string scenario;
    std::string variant;
    double sent = 0;
    double answered = 0;
    double partial = 0;
    double refused = 0;
    double unknown = 0;
    double lost = 0;
    double inTime = 0;
    double shardsAsked = 0;
    double shardsAnswered = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    /// Of the urgent class, when there is one.
    double urgentP99Ms = 0;
    double refusalP99Ms = 0;
    /// Sub-requests that servers received beyond one a shard, in percent, by the servers' counts.
    double extraPercent = 0;
    double crashes = 0;
    double peakConnections = 0;
    double refusedAtCap = 0;
    double lastDrainArrivalMs = 0;
    double platformCallsPerSecond = 0;
    double doubledRuns = 0;
    double untrue = 0;
    /// What was untrue, and notes of the run.
    std::vector<std::string> remarks;
};

/// Reads a result file of the load tool.
std::optional<RunFigures> figuresOf(const std::string &resultText, Reason &reason);

/// docs/measurements.md: the targets with what was measured against them, and a table a customer.
std::string reportText(const ReportHeader &header, const std::vector<RunFigures> &runs);

} // namespace oleander::bench
