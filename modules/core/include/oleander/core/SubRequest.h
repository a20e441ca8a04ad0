#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Query.h>
#include <oleander/core/Units.h>

#include <string>
#include <vector>

namespace oleander {

/// The part of a query that concerns one shard, as sent to one backend server.
struct SubRequest
{
    SubRequestId id;
    /// Lets a server recognise a repeated non-idempotent request, together with `request`.
    CallerId caller;
    RequestId request;
    ServiceId service;
    ShardId shard;
    /// The server must answer from this snapshot, or refuse the request.
    SnapshotId snapshot;
    Duration timeLeft{};
    Urgency urgency = Urgency::Normal;
    bool isIdempotent = true;
    std::string payload;
    std::size_t limit = 0;

    bool operator==(const SubRequest &) const = default;
};

/// Result of a sub-request as reported by the backend server. With Shed, Draining, WrongSnapshot
/// and AlreadyRan the server has not executed this sub-request.
enum class ReplyKind {
    Ok,
    /// Refused because of overload.
    Shed,
    /// The server is shutting down and accepts no new requests.
    Draining,
    /// The server does not have the requested snapshot of the shard.
    WrongSnapshot,
    /// Cancelled by the coordinator; the request may have been executed in part.
    Cancelled,
    /// A non-idempotent request with this id was executed before; the reply contains the documents
    /// of that execution.
    AlreadyRan,
    /// Executed, but ended with an error.
    Failed,
};

/// A backend server's reply to one sub-request.
struct SubReply
{
    /// Id of the sub-request; a reply with a different id is a protocol error.
    SubRequestId id;
    ReplyKind kind = ReplyKind::Failed;
    ShardId shard;
    SnapshotId snapshot;
    std::vector<Document> documents;
    /// Requests waiting or running at the server, as reported by the server; may be inaccurate.
    int reportedLoad = 0;

    bool operator==(const SubReply &) const = default;
};

/// Wire names: "ok", "shed", "draining", "wrongSnapshot", "cancelled", "alreadyRan", "failed".
std::string_view nameOf(ReplyKind kind);
std::optional<ReplyKind> replyKindNamed(std::string_view name);

} // namespace oleander
