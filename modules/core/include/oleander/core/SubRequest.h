#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Query.h>
#include <oleander/core/Units.h>

#include <string>
#include <vector>

namespace oleander {

/// One shard's part of a query, to one backend server.
struct SubRequest
{
    SubRequestId id;
    /// Passed on so that a server can recognise a repeated non-idempotent request.
    CallerId caller;
    RequestId request;
    ServiceId service;
    ShardId shard;
    /// The server must answer from this snapshot or refuse.
    SnapshotId snapshot;
    Duration timeLeft{};
    Urgency urgency = Urgency::Normal;
    bool isIdempotent = true;
    std::string payload;
    std::size_t limit = 0;

    bool operator==(const SubRequest &) const = default;
};

/// What a backend server said. All kinds but Ok and Failed mean that it executed nothing.
enum class ReplyKind {
    Ok,
    /// Refused for load.
    Shed,
    /// The server is going away and takes no new work.
    Draining,
    /// The server does not hold the asked snapshot of the shard.
    WrongSnapshot,
    /// Stopped on request; work may have been done.
    Cancelled,
    /// A non-idempotent request with this id was executed before; the documents are of that run.
    AlreadyRan,
    /// Executed, and ended with an error.
    Failed,
};

/// A backend server's reply to one sub-request.
struct SubReply
{
    /// Echo of the sub-request; a reply whose echo does not match is a protocol error.
    SubRequestId id;
    ReplyKind kind = ReplyKind::Failed;
    ShardId shard;
    SnapshotId snapshot;
    std::vector<Document> documents;
    /// Requests waiting or running at the server, by its own report; it may be wrong.
    int reportedLoad = 0;

    bool operator==(const SubReply &) const = default;
};

/// Wire names: "ok", "shed", "draining", "wrongSnapshot", "cancelled", "alreadyRan", "failed".
std::string_view nameOf(ReplyKind kind);
std::optional<ReplyKind> replyKindNamed(std::string_view name);

} // namespace oleander
