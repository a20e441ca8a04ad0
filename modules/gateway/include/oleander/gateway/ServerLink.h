#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>
#include <oleander/gateway/HttpMessage.h>
#include <oleander/settings/Address.h>

#include <memory>

namespace oleander::gateway {

/// One request to one server. The caller's request is shared by all its attempts.
struct ServerRequest
{
    std::shared_ptr<const CallerRequest> request;
    /// The server that must answer; another one at the same address refuses.
    ServerId server;
    /// The server gives up after this time.
    Duration timeLeft{};
};

/// What is told of a link. No call is made from inside a call of the link's own functions.
class ServerLinkListener
{
public:
    virtual ~ServerLinkListener() = default;

    virtual void onOpened() = 0;
    /// The reply to the last request. The link takes another request when `isReusable`, and closes
    /// by itself otherwise.
    virtual void onReply(ServerReply reply, bool isReusable) = 0;
    /// The connection failed, or ended. Called once at most; nothing follows.
    virtual void onClosed(bool wasOpened) = 0;
};

/// One connection to a server; carries one request at a time. Destroying it closes the connection,
/// which makes most servers drop a request that is still running.
class ServerLink
{
public:
    virtual ~ServerLink() = default;

    virtual void send(const ServerRequest &request) = 0;
    /// How long the server keeps the idle connection open, when it said so.
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
