#include "VirtualClock.h"

#include <algorithm>
#include <utility>

namespace oleander::fakes {

namespace {

/// Hashes two numbers into one with the mixing function of SplitMix64.
std::uint64_t mix(std::uint64_t first, std::uint64_t second)
{
    std::uint64_t value = first + 0x9e3779b97f4a7c15ULL * (second + 1);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

VirtualClock::EventKey VirtualClock::at(TimePoint due, int owner, std::function<void()> task)
{
    const TimePoint when = std::max(due, m_now);
    const auto instant = static_cast<std::uint64_t>(when.time_since_epoch().count());
    const std::uint64_t tieBreaker = mix(mix(m_seed, instant), static_cast<std::uint64_t>(owner));
    const EventKey key{when, tieBreaker, ++m_sequence};
    m_events.emplace(key, std::move(task));
    return key;
}

VirtualClock::EventKey VirtualClock::after(Duration delay, int owner, std::function<void()> task)
{
    return at(m_now + delay, owner, std::move(task));
}

void VirtualClock::clear()
{
    while (!m_events.empty())
        std::exchange(m_events, {}).clear();
}

void VirtualClock::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.begin()->first.due <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key().due;
        event.mapped()();
    }
    m_now = std::max(m_now, end);
}

} // namespace oleander::fakes
