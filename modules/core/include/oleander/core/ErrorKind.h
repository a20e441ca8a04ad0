#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace oleander {

/// The closed list of what can go wrong with a query. Each kind has one row in the answer table.
enum class ErrorKind {
    None,
    BadRequest,
    BodyTooLarge,
    UnknownBackend,
    UnknownShard,
    NotPermitted,
    DeadlineTooShort,
    DeadlinePassed,
    Overloaded,
    OverFairShare,
    NotReady,
    Stopping,
    NotCoordinator,
    CoordinatorUnreachable,
    CoordinatorLost,
    NoReplica,
    SnapshotGone,
    CrashSuspected,
    AlreadyRan,
    MemoryTooYoung,
    ServerLost,
    ServerFailed,
    Cancelled,
    Internal,
};

/// Whether any backend server executed the query.
enum class RanState {
    NotRun,
    MaybeRan,
    Ran,
};

/// How an error kind is answered to a caller.
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    /// The most that may be claimed. A query that did reach a server is never answered NotRun.
    RanState ran;
    /// Whether the caller may send the same request again without risk of a second execution.
    bool mayRepeat;
    std::string_view text;
};

/// The answer table's row for a kind. Every kind has one.
const ErrorAnswer &answerFor(ErrorKind kind);

/// The kind with this wire name, or nothing.
std::optional<ErrorKind> errorKindNamed(std::string_view name);

/// Wire names of the execution states: "notRun", "maybeRan", "ran".
std::string_view nameOf(RanState state);

/// The execution state with this wire name, or nothing.
std::optional<RanState> ranStateNamed(std::string_view name);

} // namespace oleander
