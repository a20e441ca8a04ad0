#include <oleander/reports/BurnCounts.h>

#include <cassert>

namespace oleander {

Objectives objectivesOf(const Policy &policy)
{
    return {policy.latencyObjective, policy.latencyGoal, policy.coverageGoal};
}

void add(BurnCounts &counts, const BurnCounts &other)
{
    counts.queries += other.queries;
    counts.late += other.late;
    counts.shardsAsked += other.shardsAsked;
    counts.shardsMissing += other.shardsMissing;
    counts.latencies.merge(other.latencies);
}

BurnCounts difference(const BurnCounts &later, const BurnCounts &earlier)
{
    BurnCounts result = later;
    result.queries -= earlier.queries;
    result.late -= earlier.late;
    result.shardsAsked -= earlier.shardsAsked;
    result.shardsMissing -= earlier.shardsMissing;
    result.latencies.subtract(earlier.latencies);
    return result;
}

bool isCounted(ErrorKind error)
{
    switch (error) {
    case ErrorKind::BadRequest:
    case ErrorKind::BodyTooLarge:
    case ErrorKind::UnknownBackend:
    case ErrorKind::UnknownShard:
    case ErrorKind::NotPermitted:
    case ErrorKind::OverFairShare:
    case ErrorKind::Cancelled:
        return false;
    default:
        return true;
    }
}

bool isLate(Outcome outcome, Duration latency, Duration objective)
{
    const bool isAnswer = outcome == Outcome::Answered || outcome == Outcome::Partial;
    return !isAnswer || latency > objective;
}

double budgetBurnt(std::uint64_t bad, std::uint64_t total, PerMille goal)
{
    constexpr std::uint32_t whole = 1000;
    // A goal of 1000 leaves no budget; parsePolicySet() refuses it.
    assert(goal.value < whole);
    if (total == 0)
        return 0;
    const double allowed = static_cast<double>(whole - goal.value) / whole;
    return static_cast<double>(bad) / static_cast<double>(total) / allowed;
}

} // namespace oleander
