#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/SubRequest.h>

#include <string>

namespace oleander {

/// How a connection to a backend server ended.
enum class ConnectionEnd {
    /// The connection was never established: refused, unreachable, or timed out.
    NotOpened,
    /// The connection was established, and then closed by the server or by a transport error.
    Lost,
    /// The server sent something other than a valid reply to the request in flight.
    ProtocolError,
};

/// Receives the events of connections to backend servers, on the thread of the ServerNetwork.
class ServerNetworkListener
{
public:
    virtual ~ServerNetworkListener() = default;

    virtual void onConnectionOpened(ConnectionId connection) = 0;
    /// The last event of a connection. A request in flight may have been executed, unless `end` is
    /// NotOpened. Not called for connections that were closed with close().
    virtual void onConnectionEnded(ConnectionId connection, ConnectionEnd end) = 0;
    virtual void onReply(ConnectionId connection, const SubReply &reply) = 0;
};

/// Connections to backend servers, each with at most one request in flight. The user of this
/// interface decides which connections to open and where to send requests; implementations only
/// transfer them.
class ServerNetwork
{
public:
    virtual ~ServerNetwork() = default;

    /// Sends a request on an open connection that has none in flight.
    virtual void send(ConnectionId connection, const SubRequest &request) = 0;
    /// Asks the server to stop executing a sub-request; best effort. The message is sent on `idle`,
    /// an open connection to the same server without a request in flight, which is busy until the
    /// reply to it arrives, with the same sub-request id. The connection that carries the
    /// sub-request stays open, and its reply, of kind Cancelled or any other, is still delivered.
    virtual void cancel(ConnectionId idle, SubRequestId request) = 0;
    /// Starts to open a connection and reports the result to the listener, which must outlive the
    /// connection.
    virtual ConnectionId open(const Server &server, ServerNetworkListener &listener) = 0;
    /// Closes a connection immediately. The listener receives no further events of it.
    virtual void close(ConnectionId connection) = 0;
};

} // namespace oleander
