#pragma once

#include <oleander/core/Query.h>
#include <oleander/core/Reason.h>
#include <oleander/core/Units.h>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace oleander {

/// A request id together with its caller.
struct RequestKey
{
    CallerId caller;
    RequestId request;

    bool operator==(const RequestKey &) const = default;
};

struct RequestKeyHash
{
    std::size_t operator()(const RequestKey &key) const noexcept;
};

/// A non-idempotent request that was admitted, and its answer.
struct RecordedRequest
{
    /// Time of admission.
    TimePoint since{};
    /// Empty while the request may still be running.
    std::optional<Answer> answer;
};

/// Deduplication table: the non-idempotent requests that a coordinator of a service has admitted.
///
/// The table starts with the process, or with the last change of the coordinators of the service
/// if that is later. A request that was issued before may have been executed by another
/// coordinator.
struct RequestMemory
{
    /// Requests that were issued before this time may have been executed without being recorded.
    WallTime completeSince{};
    std::unordered_map<RequestKey, RecordedRequest, RequestKeyHash> requests;
    /// Oldest first.
    std::deque<RequestKey> oldestFirst;
};

/// Assumed maximum difference between the clocks of callers and instances.
constexpr Duration maximumClockSkew = seconds(2);

/// How to handle a non-idempotent request.
struct AtMostOnceDecision
{
    enum class Action {
        /// Execute the request: it is new and has been added to the table.
        Run,
        /// Return the stored answer: the request has been executed before.
        Replay,
        /// Refuse the request for the cause given in the Reason.
        Refuse,
    };
    Action action = Action::Refuse;
    std::optional<Answer> replay;
};

/// Decides how to handle a non-idempotent request, and adds it to the table if it is to be
/// executed.
///
/// Refuses with BadRequest when the time of issue is missing or in the future, with MemoryTooYoung
/// when the request was issued before the table is complete or longer ago than requests are kept,
/// and with AlreadyRan while a request with the same id is in progress.
AtMostOnceDecision decideAtMostOnce(RequestMemory &memory, const Query &query, TimePoint now,
                                    WallTime wallNow, const Policy &policy, Reason &reason);

/// Stores the answer of a request that has ended. A request that was certainly not executed is
/// removed instead, so that it can be sent again.
void noteRequestEnded(RequestMemory &memory, const RequestKey &key, const Answer &answer);

/// Removes requests that are older than Policy::requestMemory.
void expireRequests(RequestMemory &memory, TimePoint now, const Policy &policy);

} // namespace oleander
