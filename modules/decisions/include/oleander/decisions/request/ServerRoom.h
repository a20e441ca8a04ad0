#pragma once

#include <oleander/core/Units.h>

namespace oleander {

/// What a sender knows of the room that one server has for further requests.
struct ServerRoom
{
    /// Requests that the server executes at a time.
    int slots = 1;
    /// Requests of all senders that were executing or waiting at the server's last report.
    int reported = 0;
    /// Time since that report; the maximum if there is none.
    Duration reportAge = Duration::max();
    /// Requests of this sender without a reply, and those of them that were sent after the report.
    int ownInFlight = 0;
    int ownSentSince = 0;
    /// Duration of work at the server relative to what is usual for its service.
    double pace = 1;
};

/// Reports are ignored after this time. They fade until then, since other senders' requests end
/// meanwhile.
constexpr Duration loadReportLifetime = milliseconds(600);

/// Weight of a report of this age, from 1 for a fresh one to 0.
[[nodiscard]] double reportFreshness(Duration age);

/// Expected number of requests at the server, of all senders.
[[nodiscard]] double expectedOccupancy(const ServerRoom &room);

/// Whether a request that is sent now is expected to be executed at once.
[[nodiscard]] bool hasFreeSlot(const ServerRoom &room);

/// Expected time until a request that is sent now begins to be executed. `usualService` is the
/// usual time of execution.
[[nodiscard]] Duration expectedWait(const ServerRoom &room, Duration usualService);

/// Expected time until a request that is sent now has been executed.
[[nodiscard]] Duration expectedCompletion(const ServerRoom &room, Duration usualService);

} // namespace oleander
