#pragma once

#include "concurrency/AsioHeaders.h"

#include <oleander/core/Reason.h>

#include <optional>
#include <string>

namespace oleander {

/// Reads an IP number and a port, such as "127.0.0.1:7001" or "[::1]:7001".
std::optional<boost::asio::ip::tcp::endpoint> endpointOf(const std::string &address,
                                                         Reason &reason);

/// Opens a listening socket that other threads of the process may share the port with, each by a
/// socket of its own (SO_REUSEPORT).
std::optional<boost::asio::ip::tcp::acceptor> listenOn(boost::asio::io_context &context,
                                                       const std::string &address, Reason &reason);

} // namespace oleander
