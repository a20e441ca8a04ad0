#pragma once

#include <oleander/ports/ServerNetwork.h>

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// Bounds on one connection to a backend server.
struct ServerNetworkLimits
{
    /// Opening a connection that takes longer ends it as ConnectionEnd::NotOpened.
    Duration connectTimeout = milliseconds(500);
    /// Largest reply body in bytes; a longer one is a protocol error.
    std::size_t maximumReplyBytes = std::size_t{4} * 1024 * 1024;
};

/// ServerNetwork over TCP and HTTP/1.1 with keep-alive, bodies by ServerCodec.h.
///
/// Belongs to the one thread that runs the context; no member may be called from another. A
/// listener is never called inside open(), send(), cancel() or close(). Memory is bounded by the
/// number of connections times the largest reply. Destroying the network closes everything and
/// reports nothing. The decision which connections exist is not made here: see ServerNetwork.
class AsioServerNetwork final : public ServerNetwork
{
public:
    AsioServerNetwork(boost::asio::io_context &context, ServerNetworkLimits limits);
    ~AsioServerNetwork() override;
    AsioServerNetwork(const AsioServerNetwork &) = delete;
    AsioServerNetwork &operator=(const AsioServerNetwork &) = delete;

    void send(ConnectionId connection, const SubRequest &request) override;
    void cancel(ConnectionId idle, SubRequestId request) override;
    ConnectionId open(const Server &server, ServerNetworkListener &listener) override;
    void close(ConnectionId connection) override;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace oleander
