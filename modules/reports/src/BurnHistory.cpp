#include <oleander/reports/BurnHistory.h>

#include <algorithm>

namespace oleander {

namespace {

Duration slotLength(std::size_t window)
{
    return burnWindows[window].length / burnSlotsEachWindow;
}

bool isEmpty(const BurnCounts &counts)
{
    return counts.queries == 0 && counts.shardsAsked == 0;
}

void dropOld(std::deque<BurnSlot> &ring, std::size_t window, TimePoint now)
{
    while (!ring.empty() && ring.front().end <= now - burnWindows[window].length)
        ring.pop_front();
}

void addTo(std::deque<BurnSlot> &ring, std::size_t window, TimePoint now,
           const BurnCounts &increment)
{
    if (isEmpty(increment))
        return;
    const bool needsSlot = ring.empty() || now - ring.back().start >= slotLength(window);
    if (needsSlot)
        ring.push_back({now, now, {}});
    ring.back().end = now;
    add(ring.back().counts, increment);
}

} // namespace

BurnHistory makeHistory(TimePoint now)
{
    BurnHistory history;
    history.began = now;
    return history;
}

void advance(BurnHistory &history, TimePoint now, const BurnCounts &increment)
{
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        addTo(history.rings[window], window, now, increment);
        dropOld(history.rings[window], window, now);
    }
}

WindowCounts countsOver(const BurnHistory &history, std::size_t window, TimePoint now)
{
    WindowCounts result;
    result.reach = std::min(now - history.began, burnWindows[window].length);
    for (const BurnSlot &slot : history.rings[window]) {
        if (slot.end > now - burnWindows[window].length)
            add(result.counts, slot.counts);
    }
    return result;
}

} // namespace oleander
