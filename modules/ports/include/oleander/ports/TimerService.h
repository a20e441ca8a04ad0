#pragma once

#include <oleander/core/Units.h>
#include <oleander/ports/Subscription.h>

#include <functional>

namespace oleander {

/// When a timer was due and when it fired. A large difference means that the process was suspended
/// or overloaded.
struct TimerTick
{
    TimePoint due;
    TimePoint fired;

    [[nodiscard]] Duration lateness() const { return fired - due; }
};

using TimerCallback = std::function<void(const TimerTick &)>;

/// Clock and timers. Code that takes decisions reads the time from here only, so that tests can
/// simulate it. Callbacks run on the thread that owns the service.
///
/// Destroying a subscription stops its callbacks, also from within the callback itself.
class TimerService
{
public:
    virtual ~TimerService() = default;

    // Reading the time
    [[nodiscard]] virtual TimePoint now() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;

    // Subscribing
    /// Calls `callback` once, after `delay` or as soon as possible afterwards.
    virtual Subscription callAfter(Duration delay, TimerCallback callback) = 0;
    /// Calls `callback` once per `period`. When periods were missed, it is called once for all of
    /// them.
    virtual Subscription callEvery(Duration period, TimerCallback callback) = 0;
    /// Calls `task` once, after the current event has been handled. It can not be cancelled.
    virtual void post(std::function<void()> task) = 0;
};

} // namespace oleander
