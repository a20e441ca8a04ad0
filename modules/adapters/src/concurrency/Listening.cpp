#include "concurrency/Listening.h"

#include <charconv>
#include <sys/socket.h>

namespace oleander {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

bool sharePort(tcp::acceptor &acceptor)
{
    const int on = 1;
    return ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) == 0;
}

std::string withoutBrackets(const std::string &host)
{
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return isBracketed ? host.substr(1, host.size() - 2) : host;
}

} // namespace

std::optional<tcp::endpoint> endpointOf(const std::string &address, Reason &reason)
{
    const std::size_t colon = address.rfind(':');
    boost::system::error_code error;
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const char *const end = address.data() + address.size();
        const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
        const auto number =
            asio::ip::make_address(withoutBrackets(address.substr(0, colon)), error);
        if (!error && parsed.ec == std::errc() && parsed.ptr == end)
            return tcp::endpoint(number, port);
    }
    reason.set(ErrorKind::BadRequest, "'" + address + "' is not an IP address and a port");
    return std::nullopt;
}

std::optional<tcp::acceptor> listenOn(asio::io_context &context, const std::string &address,
                                      Reason &reason, const ListenOptions &options)
{
    const auto endpoint = endpointOf(address, reason);
    if (!endpoint)
        return std::nullopt;
    tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error && options.isPortShared && !sharePort(acceptor))
        error.assign(errno, boost::system::generic_category());
    // Connections inherit the size. It must be set before they are open to bound what they hold
    // before they are accepted.
    if (!error && options.receiveBufferBytes > 0)
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(static_cast<int>(options.receiveBufferBytes)),
            error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(options.backlog, error);
    if (!error)
        return acceptor;
    reason.set(ErrorKind::Internal, "can not listen on " + address + ": " + error.message());
    return std::nullopt;
}

} // namespace oleander
