#pragma once

#include "VirtualClock.h"

#include <oleander/ports/TimerService.h>

#include <deque>
#include <memory>
#include <vector>

namespace oleander::fakes {

/// One hosted process: its clocks and its single thread.
///
/// While it is frozen, whatever is due or arrives waits; after waking, timers are late and say so.
/// Once killed, nothing runs any more. Work is handed to it by run(), also by the fake networks.
class VirtualHost final : public TimerService
{
public:
    /// `skew` is the error of its wall clock; `index` is unique on the clock.
    VirtualHost(VirtualClock &clock, int index, Duration skew = Duration{});

    // TimerService
    [[nodiscard]] TimePoint now() const override { return m_clock.now() + m_origin; }
    [[nodiscard]] WallTime wallNow() const override;
    Subscription callAfter(Duration delay, TimerCallback callback) override;
    Subscription callEvery(Duration period, TimerCallback callback) override;
    void post(std::function<void()> task) override;

    // Life of the process
    /// Runs `task` `delay` from now on the thread of this process, or when it wakes.
    void run(Duration delay, std::function<void()> task);
    /// Stops the process until wake(). Arrivals before timers after waking when `arrivalsFirst`.
    void freeze(bool arrivalsFirst);
    void wake();
    void kill();
    /// Freezes the process for `pause` in the middle of the event whose next message it sends.
    void freezeAtNextSend(Duration pause) { m_pauseAtSend = pause; }
    /// Called by a fake network on each message: the time until it really leaves.
    Duration takePauseAtSend();

    /// Whether it was frozen at any time between the two.
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
    struct Waiting
    {
        bool isTimer;
        std::function<void()> task;
    };

    Subscription subscribe(Duration delay, Duration period, TimerCallback callback);
    void arm(const std::shared_ptr<Timer> &timer, TimePoint due);
    void fire(const std::shared_ptr<Timer> &timer, TimePoint due);
    void runOrWait(bool isTimer, std::function<void()> task);

    VirtualClock &m_clock;
    int m_index;
    Duration m_origin;
    Duration m_skew;
    bool m_isAlive = true;
    bool m_isFrozen = false;
    bool m_arrivalsFirst = false;
    Duration m_pauseAtSend{};
    std::deque<Waiting> m_waiting;
    TimePoint m_frozenSince;
    /// Begin and end of each freeze that has ended.
    std::vector<std::pair<TimePoint, TimePoint>> m_freezes;
};

} // namespace oleander::fakes
