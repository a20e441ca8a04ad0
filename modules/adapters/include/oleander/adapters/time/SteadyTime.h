#pragma once

#include <oleander/core/Units.h>

namespace oleander {

/// Returns the current monotonic time, which is the same on all threads. For adapters only;
/// decision code reads the time from its TimerService.
[[nodiscard]] TimePoint steadyNow();

} // namespace oleander
