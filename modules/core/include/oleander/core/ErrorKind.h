#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace oleander {

/// The reasons why a query can fail. Each kind has one row in the table behind answerFor().
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
enum class ExecutionState {
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
    /// The execution state that is reported with this kind. When the query has reached a backend
    /// server, NotRun is never reported.
    ExecutionState ran;
    /// Whether the caller may resend the request without the risk that it is executed twice.
    bool mayRepeat;
    std::string_view text;
};

/// The HTTP status, execution state and text with which a kind is answered.
const ErrorAnswer &answerFor(ErrorKind kind);

/// The kind with this wire name, or std::nullopt.
std::optional<ErrorKind> errorKindNamed(std::string_view name);

/// Wire names of the execution states: "notRun", "maybeRan", "ran".
std::string_view nameOf(ExecutionState state);

/// The execution state with this wire name, or std::nullopt.
std::optional<ExecutionState> executionStateNamed(std::string_view name);

} // namespace oleander
