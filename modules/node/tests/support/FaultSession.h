#pragma once

#include "Faults.h"

namespace oleander::fakes {

/// A fault and the step of the observed query at which it strikes.
struct Strike
{
    const FaultKind *fault = nullptr;
    Step step = Step::Accepted;
};

/// One session of the fault matrix.
struct FaultSession
{
    bool isAmms = true;
    bool isIdempotent = true;
    /// The caller sends the observed query through two entries at once.
    bool isImpatient = false;
    std::uint64_t seed = 1;
    std::vector<Strike> strikes;
};

struct FaultResult
{
    std::vector<std::string> broken;
    /// Whether the observed query came to each strike's step.
    bool isReached = true;
    std::vector<std::string> trace;
};

/// The name of a step, as in the head of the matrix.
std::string_view nameOf(Step step);

/// Runs the session: a warm fleet, some other queries, the observed query with its strikes, resends
/// by its caller, and time to heal. Judges every promise.
FaultResult runFaultSession(const FaultSession &session, bool isTracing = false);

/// The session as one line that names it in reports.
std::string describe(const FaultSession &session);

} // namespace oleander::fakes
