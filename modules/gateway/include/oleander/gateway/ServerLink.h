#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>
#include <oleander/gateway/HttpMessage.h>
#include <oleander/settings/Address.h>

#include <memory>
#include <optional>
#include <string_view>

namespace oleander::gateway {

/// One request to one server. All attempts share the caller's request.
struct ServerRequest
{
    std::shared_ptr<const CallerRequest> request;
    /// The expected server; any other server at the same address rejects the request.
    ServerId server;
    /// Time left for the server to reply.
    Duration timeLeft{};
};

/// Whose reply it is that arrives while a request awaits one.
enum class ReplyOwner {
    /// That of the request: it carries its id.
    Request,
    /// That of the request, since the connection has carried no other. A second copy of it could
    /// not be told from the reply to a later request.
    OnlyRequest,
    /// An earlier request's, whose id it carries. The awaited one may follow.
    Other,
    /// Not known: it carries no id, and the connection has carried other requests. It shows neither
    /// that the request was executed nor that it was not.
    Unknown,
};

/// Decides whose reply it is. `echoedId` is the request id that it carries, if any.
[[nodiscard]] ReplyOwner ownerOfReply(std::optional<std::string_view> echoedId,
                                      const RequestId &awaited, bool isFirstOnConnection);

/// How a link ended.
enum class LinkEnd {
    /// No connection came about.
    NotOpened,
    /// The server closed the connection before it sent any byte of a reply to the last request.
    ClosedByServer,
    /// What the server sent is no reply, it sent a part of one, or it fell silent.
    Unusable,
};

/// Receives the events of a link. Never called synchronously from the link's own functions.
class ServerLinkListener
{
public:
    virtual ~ServerLinkListener() = default;

    virtual void onOpened() = 0;
    /// Called with the reply to the last request. The link accepts another request if `isReusable`,
    /// and closes itself otherwise.
    virtual void onReply(ServerReply reply, bool isReusable) = 0;
    /// Called when the connection failed or ended; at most once, and as the last event.
    virtual void onClosed(LinkEnd end) = 0;
};

/// One connection to a server; carries one request at a time. Destroying it closes the connection,
/// which makes most servers abort a running request.
class ServerLink
{
public:
    virtual ~ServerLink() = default;

    virtual void send(const ServerRequest &request) = 0;
    /// How long the server keeps an idle connection open, if it stated this.
    [[nodiscard]] virtual std::optional<Duration> keepAlive() const = 0;
};

/// Opens connections to servers.
class ServerLinkFactory
{
public:
    virtual ~ServerLinkFactory() = default;
    virtual std::unique_ptr<ServerLink> open(const Address &address,
                                             ServerLinkListener &listener) = 0;
};

} // namespace oleander::gateway
