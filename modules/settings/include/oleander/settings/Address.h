#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oleander {

/// An IP number and a port.
struct Address
{
    /// IPv4 or IPv6 number, without brackets.
    std::string number;
    std::uint16_t port = 0;

    bool operator==(const Address &) const = default;
};

/// Reads "127.0.0.1:7001" or "[::1]:7001". Names are refused: nothing of the system asks a name
/// service. Port 0 is refused.
std::optional<Address> parseAddress(std::string_view text);

/// "127.0.0.1:7001": the number as it is, a colon and the port.
std::string addressText(const Address &address);

} // namespace oleander
