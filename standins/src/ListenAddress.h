#pragma once

#include "Asio.h"

#include <oleander/core/Reason.h>

#include <optional>
#include <string>

namespace oleander::standins {

/// The endpoint to listen on, written as "ip:port"; port 0 lets the system choose. Only loopback
/// addresses are taken: stand-ins are not to be reached from other machines.
std::optional<asio::ip::tcp::endpoint> parseListenAddress(const std::string &address,
                                                          Reason &reason);

} // namespace oleander::standins
