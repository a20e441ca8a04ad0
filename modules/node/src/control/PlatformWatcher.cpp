#include "PlatformWatcher.h"

#include <algorithm>

namespace oleander {

namespace {

/// The wait of a watch is shortened by a random time of up to one part in this many, so that
/// watches that started together spread out.
constexpr int watchJitterDivisor = 4;

} // namespace

PlatformWatcher::PlatformWatcher(Ports ports, const PlatformRules &rules, ControlCounters &counters,
                                 ValueHandler onValue, VersionSource seen)
    : m_ports(ports)
    , m_rules(rules)
    , m_counters(counters)
    , m_onValue(std::move(onValue))
    , m_seenVersion(std::move(seen))
{
}

void PlatformWatcher::setWatchedKeys(const std::map<std::string, Duration> &keys)
{
    for (auto &[name, watch] : m_watches) {
        if (!keys.contains(name)) {
            watch.isWanted = false;
            watch.timer.reset();
        }
    }
    std::erase_if(m_watches, [](const auto &item) {
        return !item.second.isWanted && !item.second.isCallActive;
    });
    for (const auto &[name, wait] : keys) {
        Watch &watch = m_watches[name];
        watch.wait = wait;
        if (watch.isWanted)
            continue;
        watch.isWanted = true;
        if (!watch.isCallActive)
            scheduleWatch(name, Duration{});
    }
}

void PlatformWatcher::readOnce(const std::string &name, std::function<void(bool)> done)
{
    ++m_counters.platformCalls;
    m_ports.platform.read(name, [this, alive = std::weak_ptr(m_alive), name,
                                 done = std::move(done)](PlatformValue value) {
        if (alive.expired())
            return;
        const bool isAnswered = noteAnswer(value);
        deliver(name, std::move(value));
        done(isAnswered);
    });
}

void PlatformWatcher::scheduleWatch(const std::string &name, Duration delay)
{
    m_watches[name].timer =
        m_ports.timers.callAfter(delay, [this, name](const TimerTick &) { startWatch(name); });
}

void PlatformWatcher::startWatch(const std::string &name)
{
    Watch &watch = m_watches[name];
    watch.isCallActive = true;
    watch.startedAt = m_ports.timers.now();
    ++m_counters.platformCalls;
    const auto shortened = static_cast<std::uint64_t>(watch.wait.count() / watchJitterDivisor);
    const Duration jitter(static_cast<Duration::rep>(m_ports.random.below(shortened + 1)));
    m_ports.platform.watch(name, m_seenVersion(name), watch.wait - jitter,
                           [this, alive = std::weak_ptr(m_alive), name](PlatformValue value) {
                               if (!alive.expired())
                                   onAnswer(name, std::move(value));
                           });
}

void PlatformWatcher::onAnswer(const std::string &name, PlatformValue value)
{
    noteAnswer(value);
    const PlatformStatus status = value.status;
    const ValueResult result = deliver(name, std::move(value));
    const auto found = m_watches.find(name);
    if (found == m_watches.end())
        return;
    Watch &watch = found->second;
    watch.isCallActive = false;
    if (!watch.isWanted)
        m_watches.erase(found);
    else
        scheduleWatch(name, delayAfter(watch, status, result));
}

bool PlatformWatcher::noteAnswer(const PlatformValue &value)
{
    const bool isAnswered = value.status != PlatformStatus::Unreachable;
    if (isAnswered)
        m_answeredAt = m_ports.timers.now();
    else
        ++m_counters.platformFailures;
    if (isAnswered != m_isReachable) {
        m_isReachable = isAnswered;
        m_ports.events.record(isAnswered ? EventId::PlatformReachable
                                         : EventId::PlatformUnreachable,
                              "configuration service");
    }
    return isAnswered;
}

Duration PlatformWatcher::delayAfter(Watch &watch, PlatformStatus status, ValueResult result)
{
    const bool isSuccess = status == PlatformStatus::NotChanged
                           || (status == PlatformStatus::Ok && result == ValueResult::Seen);
    const Duration gap = watch.startedAt + m_rules.minimumGap - m_ports.timers.now();
    if (isSuccess) {
        watch.failures = 0;
        return std::max(gap, Duration{});
    }
    ++watch.failures;
    const Duration delay = backoffDelay(watch.failures, m_rules.backoff, m_ports.random.next());
    return std::max(gap, delay);
}

ValueResult PlatformWatcher::deliver(const std::string &name, PlatformValue value)
{
    if (value.status != PlatformStatus::Ok)
        return ValueResult::Seen;
    m_counters.bytesFromPlatform += value.body.size();
    return m_onValue(name, std::move(value));
}

} // namespace oleander
