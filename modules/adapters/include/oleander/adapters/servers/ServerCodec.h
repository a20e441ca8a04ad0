#pragma once

#include <oleander/core/Reason.h>
#include <oleander/core/SubRequest.h>

#include <optional>
#include <string>
#include <string_view>

namespace oleander {

/// Body codec of the protocol towards backend servers, see docs/design/backend-protocol.md.
///
/// Bodies are MessagePack maps with string keys. Unknown keys are skipped, missing ones leave the
/// member's default, and a value of the wrong type refuses the whole body. The adapter and any
/// server written in C++ share these functions.

/// The path that executes a sub-request.
inline constexpr std::string_view shardPath = "/v1/shard";
/// The path that cancels a sub-request.
inline constexpr std::string_view cancelPath = "/v1/cancel";
inline constexpr std::string_view messagePackType = "application/msgpack";

/// Chosen at random by each client of a server. Ids of sub-requests are unique only inside a daemon
/// process, so a server tells equal ids of several daemons apart by this.
using ServerClientId = NumberId<struct ServerClientTag>;

/// A sub-request as a server receives it.
struct ReceivedSubRequest
{
    ServerClientId client;
    SubRequest request;

    bool operator==(const ReceivedSubRequest &) const = default;
};

/// Names the sub-request to cancel.
struct ReceivedCancel
{
    ServerClientId client;
    SubRequestId request;

    bool operator==(const ReceivedCancel &) const = default;
};

/// Appends the body of a POST to shardPath.
void encodeSubRequest(ServerClientId client, const SubRequest &request, std::string &out);
/// Appends the body of a POST to cancelPath.
void encodeCancel(ServerClientId client, SubRequestId request, std::string &out);
/// Appends the body of a reply to either path.
void encodeSubReply(const SubReply &reply, std::string &out);

/// Empty, with ErrorKind::BadRequest, when the body is malformed.
std::optional<ReceivedSubRequest> decodeSubRequest(std::string_view body, Reason &reason);
std::optional<ReceivedCancel> decodeCancel(std::string_view body, Reason &reason);
/// Empty, with ErrorKind::ServerFailed, when the body is malformed or its kind is unknown.
std::optional<SubReply> decodeSubReply(std::string_view body, Reason &reason);

} // namespace oleander
