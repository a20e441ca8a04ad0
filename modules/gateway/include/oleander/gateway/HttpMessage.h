#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>
#include <oleander/ports/PeerMessage.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleander::gateway {

/// One HTTP header field.
struct HttpField
{
    std::string name;
    std::string value;

    bool operator==(const HttpField &) const = default;
};

/// A complete request of a caller. `fields` excludes hop-by-hop fields and those that the gateway
/// sets itself.
struct CallerRequest
{
    RequestId id;
    std::string method;
    /// Path and query as sent by the caller.
    std::string target;
    std::string host;
    std::vector<HttpField> fields;
    std::string body;
    /// The caller's time limit, counted from `arrived`; nothing if not specified.
    std::optional<Duration> callerTimeout;
    /// Round trip of the caller's connection, if it is known.
    std::optional<Duration> callerRoundTrip;
    TimePoint arrived{};
};

/// The answer to a caller. The HTTP session adds Content-Length.
struct CallerAnswer
{
    int status = 0;
    std::vector<HttpField> fields;
    std::string body;
    /// Shards whose parts are not in a gathered answer.
    std::size_t missingShards = 0;
    /// The shards in an answer that another instance merges with others.
    std::vector<ShardReceipt> receipts{};
};

/// Load reported by a server.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work takes on the server at present, relative to normal; nothing if not stated.
    std::optional<double> pace{};
};

/// A complete reply of a backend server.
struct ServerReply
{
    int status = 0;
    /// End-to-end header fields to forward; hop-by-hop fields are removed.
    std::vector<HttpField> fields;
    std::string body;
    /// Stamp that proves that the server answered; empty if missing.
    std::string receipt;
    /// The server states that it did not execute the request.
    bool isNotExecuted = false;
    /// A server other than the expected one uses this address.
    bool isMisdirected = false;
    std::optional<ReportedLoad> load;
    /// Time for which the server, which has turned the request away, wants no other one of this
    /// instance.
    std::optional<Duration> retryAfter;
    /// The server states that it is leaving.
    bool isLeaving = false;
    /// Requests per second that the server accepts from all instances together, if it states this.
    std::optional<double> rateLimit;
    /// Remaining time in which the server is cold, if it states this.
    std::optional<Duration> warmUpLeft;
    /// The server that replied, if it states this. Replies at the health path do.
    ServerId serverId{};
};

/// Returns the path of a request target without the query.
[[nodiscard]] std::string_view pathOf(std::string_view target);

} // namespace oleander::gateway
