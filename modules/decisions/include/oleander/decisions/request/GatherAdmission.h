#pragma once

#include <oleander/core/Units.h>

#include <span>

namespace oleander {

/// What an instance knows of the time in which a request could be answered.
struct GatherAdmissionFacts
{
    /// Time until the objective, and until the caller must have been answered.
    Duration objectiveLeft{};
    Duration deadlineLeft{};
    /// Expected wait behind requests of the same or a higher priority at the service that
    /// determines the answer; see requiredWait().
    Duration expectedWait{};
    /// Usual latency at a server with a free slot.
    Duration usualExecution{};
    /// Whether requests of a higher priority use the same services.
    bool isBelowHigher = false;
};

enum class AdmissionVerdict {
    Admitted,
    /// The objective would be missed because of waiting work.
    ObjectiveMissed,
    /// The caller could not be answered before its deadline.
    DeadlineMissed,
};

/// Share of the time left to the objective that the expected wait and execution may take, since the
/// slowest required part takes longer than expected. In LoadSimulation, 0.5 refused one in a
/// hundred searches of a burst that servers could execute in time, and with 0.7 a tenth to a
/// quarter fewer searches of a burst beyond their capacity were in time.
constexpr double admittedObjectiveShare = 0.65;

/// The wait that the parts of all but `missable` services stay under. Reorders `waits`.
[[nodiscard]] Duration requiredWait(std::span<Duration> waits, std::size_t missable);

/// Whether to admit a request. Nothing is refused when no wait is expected, however late it is. The
/// highest priority is refused only if it could not be answered before its deadline.
[[nodiscard]] AdmissionVerdict admitGather(const GatherAdmissionFacts &facts);

/// When a refused caller should come back: from the time on in which the excess of waiting work
/// ends, spread at random so that callers do not return together, and at most a third of the time
/// left, which is how long callers wait. `fraction` is a random number from 0 to 1.
[[nodiscard]] Duration refusalRetryAfter(const GatherAdmissionFacts &facts, double fraction);

} // namespace oleander
