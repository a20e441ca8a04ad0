#pragma once

#include "Asio.h"

#include <oleander/core/Reason.h>

#include <optional>
#include <string>

namespace oleander::bench {

/// The endpoint of "ip:port". Only loopback addresses are taken: the load tool drives nothing on
/// other machines.
std::optional<asio::ip::tcp::endpoint> targetEndpoint(const std::string &address, Reason &reason);

} // namespace oleander::bench
