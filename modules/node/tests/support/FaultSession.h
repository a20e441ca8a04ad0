#pragma once

#include "Faults.h"

namespace oleander::fakes {

/// A fault and the stage of the observed query at which it is injected.
struct FaultInjection
{
    const FaultKind *fault = nullptr;
    QueryStage stage = QueryStage::Accepted;
};

/// Parameters of one session of the fault matrix.
struct FaultSession
{
    bool isAmms = true;
    bool isIdempotent = true;
    /// The caller also sends the observed query through a second entry instance, while the first
    /// attempt is in progress.
    bool isSentTwice = false;
    std::uint64_t seed = 1;
    std::vector<FaultInjection> injections;
};

struct FaultResult
{
    std::vector<std::string> violations;
    /// Whether the observed query reached the stage of every injection.
    bool hasReachedAllStages = true;
    std::vector<std::string> trace;
};

/// Name of a stage, as in the header row of the matrix.
std::string_view nameOf(QueryStage stage);

/// Runs a session and checks all guarantees. After the warm-up, the session sends background
/// queries, then the observed query with its faults and resends, and more background queries during
/// and after recovery.
FaultResult runFaultSession(const FaultSession &session, bool isTracing = false);

/// One-line description of the session for failure messages.
std::string describe(const FaultSession &session);

} // namespace oleander::fakes
