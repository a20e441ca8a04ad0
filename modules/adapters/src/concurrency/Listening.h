#pragma once

#include "concurrency/AsioHeaders.h"

#include <oleander/core/Reason.h>

#include <optional>
#include <string>

namespace oleander {

/// Parses an IP address and a port, such as "127.0.0.1:7001" or "[::1]:7001".
std::optional<boost::asio::ip::tcp::endpoint> endpointOf(const std::string &address,
                                                         Reason &reason);

struct ListenOptions
{
    /// Lets other threads of the process listen on the same port with their own sockets
    /// (SO_REUSEPORT).
    bool isPortShared = true;
    /// Maximum number of connections that the system queues until they are accepted.
    int backlog = 1024;
    /// Receive buffer of each connection; 0 for the system's default, which grows with traffic.
    std::size_t receiveBufferBytes = 0;
};

/// Opens a listening socket on an IP address and a port.
std::optional<boost::asio::ip::tcp::acceptor> listenOn(boost::asio::io_context &context,
                                                       const std::string &address, Reason &reason,
                                                       const ListenOptions &options = {});

} // namespace oleander
