#include "VirtualHost.h"

#include <algorithm>
#include <memory>

namespace oleander::fakes {

namespace {

/// Wall clock at virtual time zero.
constexpr WallTime wallEpoch{seconds(1'800'000'000)};
/// Monotonic clocks of different processes start this far apart.
constexpr Duration originStep = seconds(77);

} // namespace

VirtualHost::VirtualHost(VirtualClock &clock, int index, Duration skew)
    : m_clock(clock)
    , m_index(index)
    , m_origin(index * originStep)
    , m_skew(skew)
{
}

WallTime VirtualHost::wallNow() const
{
    return wallEpoch + m_clock.now().time_since_epoch() + m_skew;
}

Subscription VirtualHost::callAfter(Duration delay, TimerCallback callback)
{
    return subscribe(delay, Duration{}, std::move(callback));
}

Subscription VirtualHost::callEvery(Duration period, TimerCallback callback)
{
    return subscribe(period, period, std::move(callback));
}

void VirtualHost::post(std::function<void()> task)
{
    run(Duration{}, std::move(task));
}

void VirtualHost::run(Duration delay, std::function<void()> task)
{
    m_clock.after(delay, m_index,
                  [this, task = std::move(task)]() mutable { runOrWait(false, std::move(task)); });
}

void VirtualHost::freeze(bool arrivalsFirst)
{
    if (!std::exchange(m_isFrozen, true))
        m_frozenSince = m_clock.now();
    m_arrivalsFirst = arrivalsFirst;
}

void VirtualHost::wake()
{
    if (!m_isFrozen)
        return;
    m_isFrozen = false;
    m_freezes.emplace_back(m_frozenSince, m_clock.now());
    std::stable_partition(m_waiting.begin(), m_waiting.end(),
                          [this](const Waiting &each) { return each.isTimer != m_arrivalsFirst; });
    const auto waiting = std::exchange(m_waiting, {});
    for (const Waiting &each : waiting)
        m_clock.after(Duration{}, m_index, [this, each] { runOrWait(each.isTimer, each.task); });
}

bool VirtualHost::wasFrozen(TimePoint from, TimePoint to) const
{
    if (m_isFrozen && m_frozenSince <= to)
        return true;
    return std::ranges::any_of(
        m_freezes, [&](const auto &freeze) { return freeze.first <= to && freeze.second >= from; });
}

void VirtualHost::kill()
{
    m_isAlive = false;
    m_waiting.clear();
}

Duration VirtualHost::takePauseAtSend()
{
    const Duration pause = std::exchange(m_pauseAtSend, Duration{});
    if (pause > Duration{} && !m_isFrozen) {
        freeze(true);
        m_clock.after(pause, m_index, [this] { wake(); });
    }
    return pause;
}

Subscription VirtualHost::subscribe(Duration delay, Duration period, TimerCallback callback)
{
    const auto timer = std::make_shared<Timer>(Timer{std::move(callback), period});
    arm(timer, m_clock.now() + std::max(delay, Duration{}));
    return Subscription([timer] { timer->isActive = false; });
}

void VirtualHost::arm(const std::shared_ptr<Timer> &timer, TimePoint due)
{
    m_clock.at(due, m_index,
               [this, timer, due] { runOrWait(true, [this, timer, due] { fire(timer, due); }); });
}

void VirtualHost::fire(const std::shared_ptr<Timer> &timer, TimePoint due)
{
    if (!timer->isActive)
        return;
    if (timer->period > Duration{})
        arm(timer, m_clock.now() + timer->period);
    timer->callback(TimerTick{due + m_origin, now()});
}

void VirtualHost::runOrWait(bool isTimer, std::function<void()> task)
{
    if (!m_isAlive)
        return;
    if (m_isFrozen)
        m_waiting.push_back({isTimer, std::move(task)});
    else
        task();
}

} // namespace oleander::fakes
