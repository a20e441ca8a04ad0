#include <oleander/decisions/request/DispatchOrder.h>

#include <algorithm>
#include <cmath>

namespace oleander {

namespace {

double paceOf(const ServerRoom &room)
{
    // Guards against a reported pace of zero.
    constexpr double minimumPace = 0.05;
    return std::max(minimumPace, room.pace);
}

} // namespace

bool canMeetObjective(const WaitingWork &work, TimePoint now)
{
    return now + work.usualExecution <= work.answerBy;
}

bool isSentBefore(const WaitingWork &first, const WaitingWork &second, TimePoint now)
{
    if (first.priority != second.priority)
        return first.priority < second.priority;
    const bool firstInTime = canMeetObjective(first, now);
    if (firstInTime != canMeetObjective(second, now))
        return firstInTime;
    return first.arrived < second.arrived;
}

Duration toleratedWait(Duration objective, Duration usualExecution)
{
    const Duration planned(
        static_cast<std::int64_t>(plannedObjectiveShare * static_cast<double>(objective.count())));
    return std::max(Duration{}, planned - usualExecution);
}

int fillLimit(const ServerRoom &room, Duration tolerated, Duration usualExecution)
{
    const int slots = std::max(1, room.slots);
    if (usualExecution <= Duration{})
        return slots;
    // A request behind `count` others waits for count + 1 - slots ends of execution.
    const double ends = slots * static_cast<double>(tolerated.count())
                        / (paceOf(room) * static_cast<double>(usualExecution.count()));
    // Servers queue a limited number of requests; more is never useful.
    constexpr double maximumEnds = 1000;
    return std::max(slots, slots - 1 + static_cast<int>(std::min(maximumEnds, std::floor(ends))));
}

bool hasRoomBelow(const ServerRoom &room, int limit, Duration usualExecution)
{
    if (room.ownInFlight >= limit)
        return false;
    if (reportFreshness(room.reportAge) == 0)
        return true;
    int fromReport = room.reported;
    // Other senders replace what ends, and a request of this sender brings the next report. Without
    // one, the end of all reported requests is the only hint.
    if (room.ownInFlight == 0 && usualExecution > Duration{}) {
        const double ended = std::max(1, room.slots) * static_cast<double>(room.reportAge.count())
                             / (paceOf(room) * static_cast<double>(usualExecution.count()));
        fromReport = ended >= fromReport ? 0 : fromReport;
    }
    return fromReport + room.ownSentSince + 1 <= limit;
}

} // namespace oleander
