#include <oleander/core/ErrorKind.h>

#include <algorithm>

namespace oleander {

namespace {

constexpr std::array answerTable{
    ErrorAnswer{ErrorKind::None, "none", 200, ExecutionState::Ran, true, "no error"},
    ErrorAnswer{ErrorKind::BadRequest, "badRequest", 400, ExecutionState::NotRun, true,
                "the request is malformed"},
    ErrorAnswer{ErrorKind::BodyTooLarge, "bodyTooLarge", 413, ExecutionState::NotRun, true,
                "the request is larger than allowed"},
    ErrorAnswer{ErrorKind::UnknownBackend, "unknownBackend", 404, ExecutionState::NotRun, true,
                "no such backend or service is published"},
    ErrorAnswer{ErrorKind::UnknownShard, "unknownShard", 404, ExecutionState::NotRun, true,
                "no such shard is published"},
    ErrorAnswer{ErrorKind::NotPermitted, "notPermitted", 403, ExecutionState::NotRun, true,
                "the caller may not send this request"},
    ErrorAnswer{ErrorKind::DeadlineTooShort, "deadlineTooShort", 504, ExecutionState::NotRun, true,
                "the deadline can not be met"},
    ErrorAnswer{ErrorKind::DeadlinePassed, "deadlinePassed", 504, ExecutionState::MaybeRan, true,
                "the deadline passed"},
    ErrorAnswer{ErrorKind::Overloaded, "overloaded", 503, ExecutionState::NotRun, true,
                "the service has no capacity in time"},
    ErrorAnswer{ErrorKind::OverFairShare, "overFairShare", 429, ExecutionState::NotRun, true,
                "the caller exceeds its share"},
    ErrorAnswer{ErrorKind::NotReady, "notReady", 503, ExecutionState::NotRun, true,
                "the instance has no confirmed configuration yet"},
    ErrorAnswer{ErrorKind::Stopping, "stopping", 503, ExecutionState::NotRun, true,
                "the instance is stopping"},
    ErrorAnswer{ErrorKind::NotCoordinator, "notCoordinator", 503, ExecutionState::NotRun, true,
                "the instance does not coordinate the service"},
    ErrorAnswer{ErrorKind::CoordinatorUnreachable, "coordinatorUnreachable", 503,
                ExecutionState::NotRun, true, "no coordinator of the service could be reached"},
    ErrorAnswer{ErrorKind::CoordinatorLost, "coordinatorLost", 502, ExecutionState::MaybeRan, false,
                "the coordinator was lost before it answered"},
    ErrorAnswer{ErrorKind::NoReplica, "noReplica", 503, ExecutionState::NotRun, true,
                "no live replica of the shards"},
    ErrorAnswer{ErrorKind::SnapshotGone, "snapshotGone", 503, ExecutionState::NotRun, true,
                "the pinned snapshot is no longer served"},
    ErrorAnswer{ErrorKind::CrashSuspected, "crashSuspected", 422, ExecutionState::NotRun, false,
                "backend servers were lost while they executed this query"},
    ErrorAnswer{ErrorKind::AlreadyRan, "alreadyRan", 409, ExecutionState::Ran, false,
                "a request with this id was executed before"},
    ErrorAnswer{ErrorKind::MemoryTooYoung, "memoryTooYoung", 409, ExecutionState::MaybeRan, false,
                "the request may have been executed before this instance's memory began"},
    ErrorAnswer{ErrorKind::ServerLost, "serverLost", 502, ExecutionState::MaybeRan, false,
                "the backend server was lost before it answered"},
    ErrorAnswer{ErrorKind::ServerFailed, "serverFailed", 502, ExecutionState::MaybeRan, false,
                "the backend server reported a failure"},
    ErrorAnswer{ErrorKind::Cancelled, "cancelled", 499, ExecutionState::MaybeRan, false,
                "the caller went away"},
    ErrorAnswer{ErrorKind::Internal, "internal", 500, ExecutionState::MaybeRan, false,
                "an internal error"},
};

constexpr std::array ranStateNames{
    std::string_view("notRun"),
    std::string_view("maybeRan"),
    std::string_view("ran"),
};

} // namespace

const ErrorAnswer &answerFor(ErrorKind kind)
{
    return answerTable[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindNamed(std::string_view name)
{
    const auto row = std::ranges::find(answerTable, name, &ErrorAnswer::name);
    if (row == answerTable.end())
        return std::nullopt;
    return row->kind;
}

std::string_view nameOf(ExecutionState state)
{
    return ranStateNames[static_cast<std::size_t>(state)];
}

std::optional<ExecutionState> executionStateNamed(std::string_view name)
{
    const auto found = std::ranges::find(ranStateNames, name);
    if (found == ranStateNames.end())
        return std::nullopt;
    return static_cast<ExecutionState>(found - ranStateNames.begin());
}

} // namespace oleander
