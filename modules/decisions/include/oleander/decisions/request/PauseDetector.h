#pragma once

#include <oleander/core/Units.h>

namespace oleander {

/// Notices that the process did not run for a while, from the gap between beats.
struct PauseDetector
{
    TimePoint lastBeat{};
    /// Until then, conclusions drawn from elapsed time are void and non-idempotent work is refused.
    TimePoint graceUntil{};
};

/// Time between beats, and the gap beyond which a pause is assumed.
constexpr Duration beatPeriod = milliseconds(20);
constexpr Duration pauseThreshold = milliseconds(200);
/// How long after a pause evidence from elapsed time is not used.
constexpr Duration pauseGrace = milliseconds(100);

/// Called on each beat and before each decision that takes new work. Returns the length of the
/// pause that has just ended, or zero.
Duration notePulse(PauseDetector &detector, TimePoint now);

[[nodiscard]] bool isInGrace(const PauseDetector &detector, TimePoint now);

} // namespace oleander
