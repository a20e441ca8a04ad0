#pragma once

#include <oleander/ports/TimerService.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace oleander::testing {

/// Runs the tasks of all nodes of one test in virtual time, ordered by due time and then by the
/// order of scheduling.
class VirtualScheduler
{
public:
    [[nodiscard]] TimePoint now() const { return m_now; }

    /// Schedules `task` for `when`, or for the current time if `when` has passed.
    void schedule(TimePoint when, std::function<void()> task)
    {
        m_tasks.emplace(std::pair(std::max(when, m_now), ++m_sequence), std::move(task));
    }

    /// Advances the time to the earliest task and runs it. Returns false if there is none.
    bool runOne()
    {
        if (m_tasks.empty())
            return false;
        auto task = m_tasks.extract(m_tasks.begin());
        m_now = task.key().first;
        task.mapped()();
        return true;
    }

    /// Runs all tasks that are due within `span`, then sets the time to the end of `span`.
    void runFor(Duration span)
    {
        const TimePoint end = m_now + span;
        while (!m_tasks.empty() && m_tasks.begin()->first.first <= end)
            runOne();
        m_now = end;
    }

    /// Runs tasks until `condition` holds, which is checked before each task. Returns false if
    /// `limit` passes first.
    bool runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint end = m_now + limit;
        while (!condition()) {
            if (m_tasks.empty() || m_tasks.begin()->first.first > end) {
                m_now = end;
                return false;
            }
            runOne();
        }
        return true;
    }

private:
    TimePoint m_now{};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_tasks;
};

/// Timer service of one node in virtual time. A test can pause it, as if the operating system did
/// not schedule the process, and can shift its wall clock.
class VirtualTimer final : public TimerService
{
public:
    explicit VirtualTimer(VirtualScheduler &scheduler, Duration wallOffset = {})
        : m_scheduler(scheduler)
        , m_wallOffset(wallOffset)
    {
    }

    // Faults
    /// Defers the tasks of this node that are due within `span` until `span` has passed.
    void pauseFor(Duration span) { m_pausedUntil = m_scheduler.now() + span; }
    void setWallOffset(Duration offset) { m_wallOffset = offset; }

    /// Runs `task` at `when`, or at the end of the pause if the node is paused then. Used by fakes
    /// that deliver messages to this node.
    void deliverAt(TimePoint when, std::function<void()> task)
    {
        m_scheduler.schedule(
            when, [this, alive = std::weak_ptr(m_alive), task = std::move(task)]() mutable {
                if (alive.expired())
                    return;
                if (m_scheduler.now() < m_pausedUntil)
                    deliverAt(m_pausedUntil, std::move(task));
                else
                    task();
            });
    }

    // TimerService
    [[nodiscard]] TimePoint now() const override { return m_scheduler.now(); }
    [[nodiscard]] WallTime wallNow() const override
    {
        return WallTime(m_scheduler.now().time_since_epoch() + m_wallOffset);
    }

    Subscription callAfter(Duration delay, TimerCallback callback) override
    {
        return subscribe(delay, Duration{}, std::move(callback));
    }

    Subscription callEvery(Duration period, TimerCallback callback) override
    {
        return subscribe(period, period, std::move(callback));
    }

    void post(std::function<void()> task) override { deliverAt(now(), std::move(task)); }

private:
    struct Entry
    {
        TimerCallback callback;
        Duration period;
    };

    Subscription subscribe(Duration delay, Duration period, TimerCallback callback)
    {
        auto entry = std::make_shared<Entry>(Entry{std::move(callback), period});
        fireAt(now() + delay, entry);
        return Subscription([entry]() mutable { entry.reset(); });
    }

    /// The subscription owns the entry. A timer whose entry was destroyed does nothing when it is
    /// due.
    void fireAt(TimePoint due, const std::weak_ptr<Entry> &weakEntry)
    {
        deliverAt(due, [this, due, weakEntry] {
            const auto entry = weakEntry.lock();
            if (!entry)
                return;
            if (entry->period > Duration{})
                fireAt(now() + entry->period, weakEntry);
            entry->callback(TimerTick{due, now()});
        });
    }

    VirtualScheduler &m_scheduler;
    Duration m_wallOffset;
    TimePoint m_pausedUntil{};
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace oleander::testing
