#pragma once

#include <oleander/core/Units.h>
#include <oleander/decisions/request/ServerRoom.h>

#include <cstdint>

namespace oleander {

/// A request that waits until a server has room for it.
struct WaitingWork
{
    /// Zero is the highest.
    int priority = 0;
    TimePoint arrived{};
    /// Replies after this time miss the objective.
    TimePoint answerBy{};
    /// Usual time from sending to reply at a server that has a free slot.
    Duration usualExecution{};
};

/// Whether a reply is still expected in time if the request is sent now.
[[nodiscard]] bool canMeetObjective(const WaitingWork &work, TimePoint now);

/// Whether `first` is sent before `second`: by priority, then by whether it can still meet its
/// objective, then by arrival.
[[nodiscard]] bool isSentBefore(const WaitingWork &first, const WaitingWork &second, TimePoint now);

/// Share of an objective that a request may be expected to spend at a server, waiting included. An
/// answer needs the parts of most shards, so it comes with the slower ones, whose waits exceed the
/// expected one by about as much again.
constexpr double plannedObjectiveShare = 0.5;

/// The wait at a server after which a request with this objective is still expected in time.
[[nodiscard]] Duration toleratedWait(Duration objective, Duration usualExecution);

/// Number of requests, executing ones included, up to which a server may be filled with requests of
/// a lower priority, so that one of a higher priority behind them waits no longer than `tolerated`.
/// At least the number of slots, since a slot that is kept free would be lost to everyone.
/// `usualExecution` is that of the lower priority.
[[nodiscard]] int fillLimit(const ServerRoom &room, Duration tolerated, Duration usualExecution);

/// Whether one more request of a lower priority may be sent to a server with this fill limit.
/// Reported requests count until the next report, since other senders replace those that end. A
/// sender without a request at the server, which gets no report, takes them all to have ended after
/// the time that this takes.
[[nodiscard]] bool hasRoomBelow(const ServerRoom &room, int limit, Duration usualExecution);

/// Out of this many requests sent to a service while requests of a lower priority wait, one is of
/// the lower priority, so that none starves while the higher priority uses all slots.
constexpr int sendsPerLowerPriority = 20;

} // namespace oleander
