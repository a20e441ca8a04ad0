#pragma once

#include <oleander/core/Units.h>

#include <cstdint>
#include <functional>
#include <map>

namespace oleander::fakes {

/// Virtual clock with one event queue, shared by all simulated processes of a test.
///
/// Events of one owner that are due at the same time run in the order in which they were added. For
/// events of different owners the seed decides the order, so the same seed always gives the same
/// interleaving.
class VirtualClock
{
public:
    /// Identifies a pending event.
    struct EventKey
    {
        TimePoint due;
        std::uint64_t tieBreaker = 0;
        std::uint64_t sequence = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): see StrongId.h.
        auto operator<=>(const EventKey &) const = default;
    };

    explicit VirtualClock(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    [[nodiscard]] TimePoint now() const { return m_now; }
    /// Schedules `task` for `due`, or for the current time if `due` has passed.
    EventKey at(TimePoint due, int owner, std::function<void()> task);
    EventKey after(Duration delay, int owner, std::function<void()> task);
    void cancel(const EventKey &key) { m_events.erase(key); }
    /// Removes all events, including those that are added while events are destroyed.
    void clear();
    /// Runs every event up to and including `end`, then sets the time to `end`.
    void runUntil(TimePoint end);

private:
    std::uint64_t m_seed;
    std::uint64_t m_sequence = 0;
    TimePoint m_now{seconds(1000)};
    std::map<EventKey, std::function<void()>> m_events;
};

} // namespace oleander::fakes
