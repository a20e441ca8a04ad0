#pragma once

#include "Asio.h"

#include <oleander/core/Reason.h>

#include <optional>
#include <string>

namespace oleander {

/// The TCP endpoint written as "ip:port" or "[ip]:port". Names are not resolved: the fleet's
/// processes are addressed by IP numbers. Empty, with ErrorKind::BadRequest, for anything else.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &address, Reason &reason);

} // namespace oleander
