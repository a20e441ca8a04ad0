#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/SubRequest.h>

#include <string>

namespace oleander {

/// How a connection to a backend server ended.
enum class ConnectionEnd {
    /// It was never open: refused, unreachable, or timed out while opening.
    NotOpened,
    /// Open, and closed by the other side or by an error of the transport.
    Lost,
    /// The other side sent bytes that are no valid reply to the request in flight.
    ProtocolError,
};

/// Receives what happens on connections to backend servers, on the thread of the ServerNetwork.
class ServerNetworkListener
{
public:
    virtual ~ServerNetworkListener() = default;

    virtual void onConnectionOpened(ConnectionId connection) = 0;
    /// The last call for a connection. Whatever was in flight may have been executed, unless the
    /// end is NotOpened. Not called for connections that were closed by close().
    virtual void onConnectionEnded(ConnectionId connection, ConnectionEnd end) = 0;
    virtual void onReply(ConnectionId connection, const SubReply &reply) = 0;
};

/// Connections to backend servers, one request in flight on each. Which connections exist and what
/// goes where is decided by the caller of this port; an adapter only carries bytes.
class ServerNetwork
{
public:
    virtual ~ServerNetwork() = default;

    /// Sends on an open connection with nothing in flight.
    virtual void send(ConnectionId connection, const SubRequest &request) = 0;
    /// Asks the server, on a connection of its own choice, to stop executing a sub-request. The
    /// connection stays open and its reply, of kind Cancelled or any other, is still delivered.
    /// Best effort; `idle` is an open connection to the same server with nothing in flight, which
    /// is busy until its own reply with the same sub-request id arrives.
    virtual void cancel(ConnectionId idle, SubRequestId request) = 0;
    /// Starts to open a connection; the listener must outlive it. Reported by the listener.
    virtual ConnectionId open(const Server &server, ServerNetworkListener &listener) = 0;
    /// Closes at once and reports nothing more about the connection.
    virtual void close(ConnectionId connection) = 0;
};

} // namespace oleander
