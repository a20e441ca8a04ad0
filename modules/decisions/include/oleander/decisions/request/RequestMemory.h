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

/// What is remembered of a non-idempotent request.
struct RememberedRequest
{
    TimePoint since{};
    /// Set when the request has ended; without it the request may still run.
    std::optional<Answer> answer;
};

/// Which non-idempotent requests a coordinator of a service has let through.
///
/// The memory is as old as the process, and no older than the last change of the coordinators of
/// its service: a request issued before that may have run elsewhere.
struct RequestMemory
{
    /// Requests issued before this may have been executed without this memory knowing.
    WallTime completeSince{};
    std::unordered_map<RequestKey, RememberedRequest, RequestKeyHash> requests;
    std::deque<RequestKey> byAge;
};

/// How far clocks of callers and instances are assumed to disagree.
constexpr Duration clockDisagreement = seconds(2);

/// What to do with a non-idempotent request.
struct AtMostOnceVerdict
{
    enum class Action {
        /// It is new: execute it. It is now remembered.
        Run,
        /// It ended before: return the remembered answer.
        Replay,
        /// Do not execute it; the reason says why.
        Refuse,
    };
    Action action = Action::Refuse;
    std::optional<Answer> replay;
};

/// Decides about a request and remembers it when it is to run. Refuses with BadRequest when the
/// request has no time of issue or one from the future, with MemoryTooYoung when it was issued
/// before the memory is complete or longer ago than the memory lasts, and with AlreadyRan while an
/// earlier one with the same id is under way.
AtMostOnceVerdict judgeRequest(RequestMemory &memory, const Query &query, TimePoint now,
                               WallTime wallNow, const Policy &policy, Reason &reason);

/// The request ended. One that provably did not run is forgotten, so that it may be sent again.
void noteRequestEnded(RequestMemory &memory, const RequestKey &key, const Answer &answer);

/// Drops what is older than the policy's request memory.
void forgetOldRequests(RequestMemory &memory, TimePoint now, const Policy &policy);

} // namespace oleander
