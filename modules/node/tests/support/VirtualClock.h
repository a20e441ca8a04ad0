#pragma once

#include <oleander/core/Units.h>

#include <cstdint>
#include <functional>
#include <map>

namespace oleander::fakes {

/// Virtual time and the one event queue that every hosted process shares.
///
/// Events of one owner keep their order. Events of different owners at the same instant are ordered
/// by the seed, so that a seed names one interleaving.
class VirtualClock
{
public:
    /// Names an event that has not run yet.
    struct EventKey
    {
        TimePoint due;
        std::uint64_t rank = 0;
        std::uint64_t sequence = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): see StrongId.h.
        auto operator<=>(const EventKey &) const = default;
    };

    explicit VirtualClock(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    [[nodiscard]] TimePoint now() const { return m_now; }
    /// Runs `task` at `due`, or now when `due` has passed.
    EventKey at(TimePoint due, int owner, std::function<void()> task);
    EventKey after(Duration delay, int owner, std::function<void()> task);
    void cancel(const EventKey &key) { m_events.erase(key); }
    /// Drops all events, also those that dropping one adds.
    void clear();
    /// Runs every event up to and including `end`; time stands at `end` afterwards.
    void runUntil(TimePoint end);

private:
    std::uint64_t m_seed;
    std::uint64_t m_sequence = 0;
    TimePoint m_now{seconds(1000)};
    std::map<EventKey, std::function<void()>> m_events;
};

} // namespace oleander::fakes
