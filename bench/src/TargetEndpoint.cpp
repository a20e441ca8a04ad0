#include "TargetEndpoint.h"

#include <charconv>

namespace oleander::bench {

std::optional<asio::ip::tcp::endpoint> targetEndpoint(const std::string &address, Reason &reason)
{
    const auto colon = address.rfind(':');
    if (colon != std::string::npos) {
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(address.substr(0, colon), error);
        unsigned short port = 0;
        const auto *end = address.data() + address.size();
        const auto digits = std::from_chars(address.data() + colon + 1, end, port);
        if (!error && ip.is_loopback() && digits.ec == std::errc{} && digits.ptr == end)
            return asio::ip::tcp::endpoint(ip, port);
    }
    reason.set(ErrorKind::BadRequest, "'" + address + "' is not of the form loopback-ip:port");
    return std::nullopt;
}

} // namespace oleander::bench
