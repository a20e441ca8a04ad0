#pragma once

#include <chrono>
#include <cstdint>

namespace oleander {

/// Durations are measured in whole microseconds.
using Duration = std::chrono::microseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The monotonic clock of one process, real or simulated. It has no now(); TimerService::now()
/// returns its time.
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};
using TimePoint = MonotonicClock::time_point;

/// Wall-clock time in microseconds since 1970-01-01 UTC. Clocks of different instances may differ.
struct WallClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WallClock>;
    static constexpr bool is_steady = false;
};
using WallTime = WallClock::time_point;

/// Converts a duration to fractional milliseconds, for logs and answers.
constexpr double inMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

/// A share in parts per thousand, so that decisions use integer arithmetic only.
struct PerMille
{
    std::uint32_t value = 0;
    auto operator<=>(const PerMille &) const = default;
};

} // namespace oleander
