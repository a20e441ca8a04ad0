#include <oleander/decisions/request/ServerRoom.h>

#include <algorithm>

namespace oleander {

namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

} // namespace

double reportFreshness(Duration age)
{
    if (age >= loadReportLifetime)
        return 0;
    return 1.0
           - static_cast<double>(std::max(Duration{}, age).count())
                 / static_cast<double>(loadReportLifetime.count());
}

double expectedOccupancy(const ServerRoom &room)
{
    const double fromReport = reportFreshness(room.reportAge) * room.reported + room.ownSentSince;
    return std::max(fromReport, static_cast<double>(room.ownInFlight));
}

bool hasFreeSlot(const ServerRoom &room)
{
    return expectedOccupancy(room) + 1 <= std::max(1, room.slots);
}

Duration expectedWait(const ServerRoom &room, Duration usualService)
{
    const int slots = std::max(1, room.slots);
    // The request waits for as many ends of execution as there are requests beyond the free slots.
    const double ahead = std::max(0.0, expectedOccupancy(room) + 1 - slots);
    return scaled(usualService, room.pace * ahead / slots);
}

Duration expectedCompletion(const ServerRoom &room, Duration usualService)
{
    return expectedWait(room, usualService) + scaled(usualService, room.pace);
}

} // namespace oleander
