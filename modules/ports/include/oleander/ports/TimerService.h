#pragma once

#include <oleander/core/Units.h>
#include <oleander/ports/Subscription.h>

#include <functional>

namespace oleander {

/// When a timer was due and when it fired. A large difference means that the process was paused.
struct TimerTick
{
    TimePoint due;
    TimePoint fired;

    [[nodiscard]] Duration lateness() const { return fired - due; }
};

using TimerCallback = std::function<void(const TimerTick &)>;

/// The only source of time for parts that decide. Calls back on the thread that owns it.
///
/// Destroying the subscription stops further calls, also from inside the callback.
class TimerService
{
public:
    virtual ~TimerService() = default;

    // Reading the time
    [[nodiscard]] virtual TimePoint now() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;

    // Subscribing
    /// Calls once, `delay` from now or as soon after as possible.
    virtual Subscription callAfter(Duration delay, TimerCallback callback) = 0;
    /// Calls each `period`. Missed periods are not made up: one call, then the next period.
    virtual Subscription callEvery(Duration period, TimerCallback callback) = 0;
    /// Calls once, after the event that is being handled. It can not be taken back.
    virtual void post(std::function<void()> task) = 0;
};

} // namespace oleander
