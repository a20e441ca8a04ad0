#pragma once

#include <oleander/core/Units.h>

namespace oleander {

/// The process's monotonic time, the same on all threads. For adapters; parts that decide ask their
/// TimerService.
[[nodiscard]] TimePoint steadyNow();

} // namespace oleander
