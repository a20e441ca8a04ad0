#pragma once

#include <oleander/reports/BurnCounts.h>

#include <array>
#include <deque>
#include <string_view>

namespace oleander {

/// One of the times over which budgets are reported.
struct BurnWindow
{
    std::string_view name;
    Duration length;
};

/// The windows, shortest first.
constexpr std::array burnWindows{
    BurnWindow{"5m", std::chrono::minutes(5)},
    BurnWindow{"1h", std::chrono::hours(1)},
    BurnWindow{"6h", std::chrono::hours(6)},
    BurnWindow{"3d", std::chrono::hours(72)},
};

/// Slots that each window is cut into; a window is exact to one slot.
constexpr int burnSlotsEachWindow = 30;

/// How often advance() should be called: the slot of the shortest window.
constexpr Duration burnTick = burnWindows[0].length / burnSlotsEachWindow;

/// Counts of one slot of a window.
struct BurnSlot
{
    TimePoint start;
    TimePoint end;
    BurnCounts counts;
};

/// What one daemon remembers of one backend: a ring of slots for each window. Memory is bounded by
/// the number of windows times their slots.
struct BurnHistory
{
    /// Nothing is known from before.
    TimePoint began;
    std::array<std::deque<BurnSlot>, burnWindows.size()> rings;
};

/// Counts over one window, and how much of the window the memory covers.
struct WindowCounts
{
    /// At most the window's length; less after a recent start.
    Duration reach{};
    BurnCounts counts;

    bool operator==(const WindowCounts &) const = default;
};

/// A history that begins now.
BurnHistory makeHistory(TimePoint now);

/// Adds what was counted since the last call and drops what is older than the windows. Late calls
/// do no harm: their counts belong to the slot in which they are reported.
void advance(BurnHistory &history, TimePoint now, const BurnCounts &increment);

/// Adds up one window; `window` is an index into burnWindows.
WindowCounts countsOver(const BurnHistory &history, std::size_t window, TimePoint now);

} // namespace oleander
