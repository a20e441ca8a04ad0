#include "Endpoint.h"

#include <charconv>

namespace oleander {

namespace {

std::optional<unsigned short> portOf(std::string_view text)
{
    unsigned short port = 0;
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, port);
    if (result.ec != std::errc{} || result.ptr != end || port == 0)
        return std::nullopt;
    return port;
}

std::string hostOf(const std::string &address, std::size_t colon)
{
    if (colon >= 2 && address.front() == '[' && address[colon - 1] == ']')
        return address.substr(1, colon - 2);
    return address.substr(0, colon);
}

} // namespace

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &address, Reason &reason)
{
    const auto colon = address.rfind(':');
    if (colon != std::string::npos) {
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(hostOf(address, colon), error);
        const auto port = portOf(std::string_view(address).substr(colon + 1));
        if (!error && port)
            return asio::ip::tcp::endpoint(ip, *port);
    }
    reason.set(ErrorKind::BadRequest, "address '" + address + "' is not of the form ip:port");
    return std::nullopt;
}

} // namespace oleander
