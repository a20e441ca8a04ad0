#pragma once

#include <oleander/ports/TimerService.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace oleander::testing {

/// Virtual time shared by all nodes of one test. Tasks run in order of time, then of scheduling.
class VirtualScheduler
{
public:
    [[nodiscard]] TimePoint now() const { return m_now; }

    /// Runs the task at a time, at once after the current one when the time has passed.
    void schedule(TimePoint when, std::function<void()> task)
    {
        m_tasks.emplace(std::pair(std::max(when, m_now), ++m_sequence), std::move(task));
    }

    /// Runs the earliest task and sets the time to its own; false when there is none.
    bool runOne()
    {
        if (m_tasks.empty())
            return false;
        auto task = m_tasks.extract(m_tasks.begin());
        m_now = task.key().first;
        task.mapped()();
        return true;
    }

    /// Runs all tasks up to `span` from now, and ends exactly there.
    void runFor(Duration span)
    {
        const TimePoint end = m_now + span;
        while (!m_tasks.empty() && m_tasks.begin()->first.first <= end)
            runOne();
        m_now = end;
    }

    /// Runs until the condition holds, looking after each task; false when `limit` passed first.
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

/// The timer service of one node in virtual time. It can be paused, like a process that the
/// operating system does not run, and its wall clock can disagree with others.
class VirtualTimer final : public TimerService
{
public:
    explicit VirtualTimer(VirtualScheduler &scheduler, Duration wallOffset = {})
        : m_scheduler(scheduler)
        , m_wallOffset(wallOffset)
    {
    }

    // Faults
    /// Nothing of this node runs before `span` has passed; what falls due runs late.
    void pauseFor(Duration span) { m_pausedUntil = m_scheduler.now() + span; }
    void setWallOffset(Duration offset) { m_wallOffset = offset; }

    /// Runs a task at a time, or when the pause has ended. For fakes that deliver to this node.
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

    /// The subscription owns the entry; a timer whose entry is gone does nothing.
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
