#pragma once

#include "Asio.h"
#include "ReplyParser.h"

#include <oleander/adapters/servers/AsioServerNetwork.h>
#include <oleander/adapters/servers/ServerCodec.h>

#include <memory>
#include <optional>
#include <string>

namespace oleander {

/// One connection to a backend server, for one request at a time.
///
/// States: opening, idle, busy, ended. A read is always pending while the connection is open, so
/// that a close by the server is seen at once, also when nothing is in flight; bytes that arrive
/// then are a protocol error. Owned by the network and by its own pending operations.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /// Told that the connection has ended, before the listener is.
    using Forget = void (*)(void *owner, ConnectionId connection);

    struct Owner
    {
        void *owner;
        Forget forget;
        ServerClientId client;
    };

    ServerConnection(asio::io_context &context, ConnectionId id, ServerNetworkListener &listener,
                     const ServerNetworkLimits &limits, Owner owner);

    /// Starts to connect to "ip:port".
    void open(const std::string &address);
    void send(const SubRequest &request);
    void cancel(SubRequestId request);
    /// Ends without a report.
    void close();

private:
    using Error = boost::system::error_code;

    void startTimeout();
    void onConnected(const Error &error);
    void beginRequest(SubRequestId request);
    void write(std::string_view path);
    void writeRest(std::size_t written);
    void read();
    void onRead(const Error &error, std::size_t bytes);
    void parseInput();
    void deliver();
    void endLater(ConnectionEnd end);
    void end(ConnectionEnd end);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timeout;
    const ConnectionId m_id;
    ServerNetworkListener &m_listener;
    const ServerNetworkLimits m_limits;
    const Owner m_owner;
    std::string m_host;
    std::string m_requestBody;
    std::string m_output;
    std::string m_replyBody;
    beast::flat_buffer m_input;
    std::optional<ReplyParser> m_parser;
    SubRequestId m_inFlight;
    bool m_isBusy = false;
    bool m_isOpen = false;
    bool m_isEnded = false;
};

} // namespace oleander
