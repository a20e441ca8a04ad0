#pragma once

#include <chrono>
#include <cstdint>

namespace oleander {

/// All durations are whole microseconds.
using Duration = std::chrono::microseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The monotonic clock of one process, real or virtual. It has no now(): the timer service has.
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};
using TimePoint = MonotonicClock::time_point;

/// Time of day as microseconds since 1970-01-01 UTC. Clocks of different instances disagree.
struct WallClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WallClock>;
    static constexpr bool is_steady = false;
};
using WallTime = WallClock::time_point;

/// A duration in milliseconds with fraction, for logs and answers.
constexpr double inMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

/// A part of a whole in parts per thousand, so that decisions stay in integers.
struct PerMille
{
    std::uint32_t value = 0;
    auto operator<=>(const PerMille &) const = default;
};

} // namespace oleander
