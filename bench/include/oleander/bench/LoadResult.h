#pragma once

#include <oleander/bench/LatencyHistogram.h>
#include <oleander/core/Query.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace oleander::bench {

/// What came back to the queries of one class.
struct ClassResult
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// No valid HTTP answer: connection refused or lost, or no answer by the end of the run.
    std::uint64_t lost = 0;
    std::uint64_t shardsAsked = 0;
    std::uint64_t shardsAnswered = 0;
    std::uint64_t extraSubRequests = 0;
    /// Answered and partial ones, within the deadline by the caller's clock.
    std::uint64_t inTime = 0;
    /// Latency of answered and partial ones, from the intended time of sending.
    LatencyHistogram latency;
    LatencyHistogram refusalLatency;
    /// Untrue answers by what was untrue.
    std::map<std::string, std::uint64_t> faults;
    std::map<std::string, std::uint64_t> errors;
    /// Caller and request id of every answer that said that nothing ran.
    std::vector<std::pair<std::string, std::string>> notRun;
};

/// Counts of the stand-ins before and after a run, as their admin addresses gave them.
struct StandinCounts
{
    std::string servers;
    std::string platform;
};

/// One run's outcome.
struct LoadResult
{
    /// By class, in the plan's order.
    std::vector<ClassResult> classes;
    StandinCounts before;
    StandinCounts after;
    /// Answers that said that nothing ran although a server had executed some of it.
    std::uint64_t untrueNotRun = 0;
    /// Notes about the run itself, such as an action that failed.
    std::vector<std::string> notes;
};

struct LoadPlan;

/// The result as JSON for the report.
std::string loadResultText(const LoadPlan &plan, const LoadResult &result);
/// A few lines for a person.
std::string loadResultSummary(const LoadPlan &plan, const LoadResult &result);

} // namespace oleander::bench
