#pragma once

#include "concurrency/AsioHeaders.h"

#include <oleander/core/Reason.h>

#include <optional>
#include <string>

namespace oleander {

/// Reads an IP number and a port, such as "127.0.0.1:7001" or "[::1]:7001".
std::optional<boost::asio::ip::tcp::endpoint> endpointOf(const std::string &address,
                                                         Reason &reason);

struct ListenOptions
{
    /// Other threads of the process may share the port, each by a socket of its own (SO_REUSEPORT).
    bool isPortShared = true;
    /// Connections that the system holds until they are accepted.
    int backlog = 1024;
};

/// Opens a listening socket.
std::optional<boost::asio::ip::tcp::acceptor> listenOn(boost::asio::io_context &context,
                                                       const std::string &address, Reason &reason,
                                                       const ListenOptions &options = {});

} // namespace oleander
