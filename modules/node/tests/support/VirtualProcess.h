#pragma once

#include "VirtualClock.h"

#include <oleander/ports/TimerService.h>

#include <deque>
#include <memory>
#include <vector>

namespace oleander::fakes {

/// A simulated process: its clocks and its single thread.
///
/// While the process is frozen, timers and messages are deferred until it wakes; timers then report
/// how late they are. After kill(), no task runs any more. Tests and the fake networks pass tasks
/// to the process with run().
class VirtualProcess final : public TimerService
{
public:
    /// `skew` is the error of the wall clock. `index` must be unique among the owners of events on
    /// `clock`.
    VirtualProcess(VirtualClock &clock, int index, Duration skew = Duration{});

    // TimerService
    [[nodiscard]] TimePoint now() const override { return m_clock.now() + m_monotonicOffset; }
    [[nodiscard]] WallTime wallNow() const override;
    Subscription callAfter(Duration delay, TimerCallback callback) override;
    Subscription callEvery(Duration period, TimerCallback callback) override;
    void post(std::function<void()> task) override;

    // Life cycle
    /// Runs `task` on the thread of this process after `delay`, or when the process wakes if it is
    /// frozen then.
    void run(Duration delay, std::function<void()> task);
    /// Suspends the process until wake(). Deferred messages then run before deferred timers if
    /// `arrivalsFirst`, otherwise after them.
    void freeze(bool arrivalsFirst);
    void wake();
    void kill();
    /// Freezes the process for `pause` when it sends its next message, between the decision to send
    /// and the departure of the message.
    void freezeAtNextSend(Duration pause) { m_pauseAtSend = pause; }
    /// Called by the fake networks for each message that the process sends. Returns the delay until
    /// the message leaves the process.
    Duration consumePauseAtSend();

    /// Whether the process was frozen at any time between `from` and `to`.
    [[nodiscard]] bool wasFrozen(TimePoint from, TimePoint to) const;
    [[nodiscard]] bool isAlive() const { return m_isAlive; }
    [[nodiscard]] bool isFrozen() const { return m_isFrozen; }
    [[nodiscard]] int index() const { return m_index; }
    [[nodiscard]] VirtualClock &clock() { return m_clock; }

private:
    struct Timer
    {
        TimerCallback callback;
        Duration period{};
        bool isActive = true;
    };
    struct DeferredTask
    {
        bool isTimer;
        std::function<void()> task;
    };

    Subscription subscribe(Duration delay, Duration period, TimerCallback callback);
    void arm(const std::shared_ptr<Timer> &timer, TimePoint due);
    void fire(const std::shared_ptr<Timer> &timer, TimePoint due);
    void runOrDefer(bool isTimer, std::function<void()> task);

    VirtualClock &m_clock;
    int m_index;
    Duration m_monotonicOffset;
    Duration m_skew;
    bool m_isAlive = true;
    bool m_isFrozen = false;
    bool m_arrivalsFirst = false;
    Duration m_pauseAtSend{};
    std::deque<DeferredTask> m_deferredTasks;
    TimePoint m_frozenSince;
    /// Start and end of each past freeze.
    std::vector<std::pair<TimePoint, TimePoint>> m_freezes;
};

} // namespace oleander::fakes
