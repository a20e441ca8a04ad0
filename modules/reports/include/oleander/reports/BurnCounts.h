#pragma once

#include <oleander/core/Policy.h>
#include <oleander/core/Query.h>
#include <oleander/reports/LatencyHistogram.h>

#include <cstdint>

namespace oleander {

/// What a backend promises its callers; from the policy in force for the backend.
struct Objectives
{
    Duration latency{};
    /// Share of the answers that must come within `latency`.
    PerMille latencyGoal{990};
    /// Share of the shards asked for that must be in the answers.
    PerMille coverageGoal{999};

    bool operator==(const Objectives &) const = default;
};

Objectives objectivesOf(const Policy &policy);

/// What one backend spent of its budgets over some time. Counts of several daemons, threads or
/// times add up.
struct BurnCounts
{
    /// Queries that count, and those of them that missed the latency objective that was in force
    /// when they ended.
    std::uint64_t queries = 0;
    std::uint64_t late = 0;
    std::uint64_t shardsAsked = 0;
    std::uint64_t shardsMissing = 0;
    /// Of all queries that count, refused ones included.
    LatencyHistogram latencies;

    bool operator==(const BurnCounts &) const = default;
};

/// Adds `other` to `counts`.
void add(BurnCounts &counts, const BurnCounts &other);

/// What was counted since `earlier`, an older state of the same counts.
BurnCounts difference(const BurnCounts &later, const BurnCounts &earlier);

/// Whether a query says anything about the service level. Left out is what the caller alone brings
/// about: malformed or forbidden requests, unknown names, more than its share, a cancellation.
bool isCounted(ErrorKind error);

/// Whether an answer spends latency budget: it came after the objective, or was no answer at all.
bool isLate(Outcome outcome, Duration latency, Duration objective);

/// The part of the budget that is spent: 1 means all of it, more means that the goal is missed.
/// Zero when nothing was counted. The goal must be below 1000.
double budgetBurnt(std::uint64_t bad, std::uint64_t total, PerMille goal);

} // namespace oleander
