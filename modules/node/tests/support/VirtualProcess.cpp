#include "VirtualProcess.h"

#include <algorithm>
#include <memory>

namespace oleander::fakes {

namespace {

/// Wall-clock time at virtual time zero.
constexpr WallTime wallEpoch{seconds(1'800'000'000)};
/// Difference between the monotonic clocks of processes with consecutive indices.
constexpr Duration monotonicOffsetStep = seconds(77);

} // namespace

VirtualProcess::VirtualProcess(VirtualClock &clock, int index, Duration skew)
    : m_clock(clock)
    , m_index(index)
    , m_monotonicOffset(index * monotonicOffsetStep)
    , m_skew(skew)
{
}

WallTime VirtualProcess::wallNow() const
{
    return wallEpoch + m_clock.now().time_since_epoch() + m_skew;
}

Subscription VirtualProcess::callAfter(Duration delay, TimerCallback callback)
{
    return subscribe(delay, Duration{}, std::move(callback));
}

Subscription VirtualProcess::callEvery(Duration period, TimerCallback callback)
{
    return subscribe(period, period, std::move(callback));
}

void VirtualProcess::post(std::function<void()> task)
{
    run(Duration{}, std::move(task));
}

void VirtualProcess::run(Duration delay, std::function<void()> task)
{
    m_clock.after(delay, m_index,
                  [this, task = std::move(task)]() mutable { runOrDefer(false, std::move(task)); });
}

void VirtualProcess::freeze(bool arrivalsFirst)
{
    if (!std::exchange(m_isFrozen, true))
        m_frozenSince = m_clock.now();
    m_arrivalsFirst = arrivalsFirst;
}

void VirtualProcess::wake()
{
    if (!m_isFrozen)
        return;
    m_isFrozen = false;
    m_freezes.emplace_back(m_frozenSince, m_clock.now());
    std::stable_partition(
        m_deferredTasks.begin(), m_deferredTasks.end(),
        [this](const DeferredTask &each) { return each.isTimer != m_arrivalsFirst; });
    const auto deferredTasks = std::exchange(m_deferredTasks, {});
    for (const DeferredTask &each : deferredTasks)
        m_clock.after(Duration{}, m_index, [this, each] { runOrDefer(each.isTimer, each.task); });
}

bool VirtualProcess::wasFrozen(TimePoint from, TimePoint to) const
{
    if (m_isFrozen && m_frozenSince <= to)
        return true;
    return std::ranges::any_of(
        m_freezes, [&](const auto &freeze) { return freeze.first <= to && freeze.second >= from; });
}

void VirtualProcess::kill()
{
    m_isAlive = false;
    m_deferredTasks.clear();
}

Duration VirtualProcess::consumePauseAtSend()
{
    const Duration pause = std::exchange(m_pauseAtSend, Duration{});
    if (pause > Duration{} && !m_isFrozen) {
        freeze(true);
        m_clock.after(pause, m_index, [this] { wake(); });
    }
    return pause;
}

Subscription VirtualProcess::subscribe(Duration delay, Duration period, TimerCallback callback)
{
    const auto timer = std::make_shared<Timer>(Timer{std::move(callback), period});
    arm(timer, m_clock.now() + std::max(delay, Duration{}));
    return Subscription([timer] { timer->isActive = false; });
}

void VirtualProcess::arm(const std::shared_ptr<Timer> &timer, TimePoint due)
{
    m_clock.at(due, m_index,
               [this, timer, due] { runOrDefer(true, [this, timer, due] { fire(timer, due); }); });
}

void VirtualProcess::fire(const std::shared_ptr<Timer> &timer, TimePoint due)
{
    if (!timer->isActive)
        return;
    if (timer->period > Duration{})
        arm(timer, m_clock.now() + timer->period);
    timer->callback(TimerTick{due + m_monotonicOffset, now()});
}

void VirtualProcess::runOrDefer(bool isTimer, std::function<void()> task)
{
    if (!m_isAlive)
        return;
    if (m_isFrozen)
        m_deferredTasks.push_back({isTimer, std::move(task)});
    else
        task();
}

} // namespace oleander::fakes
