#include "Asio.h"
#include "TargetEndpoint.h"

#include <oleander/bench/AdminClient.h>

namespace oleander::bench {

namespace {

constexpr auto callTimeout = std::chrono::seconds(5);

/// Runs one asynchronous step of a stream to its end, so that the stream's time-out applies.
boost::system::error_code finish(asio::io_context &context, boost::system::error_code &error)
{
    context.restart();
    context.run();
    return error;
}

} // namespace

std::optional<std::string> adminCall(const std::string &address, const std::string &method,
                                     const std::string &target, const std::string &body,
                                     Reason &reason)
{
    const auto endpoint = targetEndpoint(address, reason);
    if (!endpoint)
        return std::nullopt;
    asio::io_context context(1);
    beast::tcp_stream stream(context);
    stream.expires_after(callTimeout);
    boost::system::error_code error;
    const auto note = [&error](const boost::system::error_code &result, auto...) {
        error = result;
    };

    http::request<http::string_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, address);
    request.set(http::field::connection, "close");
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    stream.async_connect(*endpoint, note);
    if (!finish(context, error))
        http::async_write(stream, request, note);
    if (!error && !finish(context, error))
        http::async_read(stream, buffer, parser, note);
    if (!error && !finish(context, error) && parser.get().result() == http::status::ok)
        return parser.get().body();
    reason.set(ErrorKind::Internal,
               method + ' ' + address + target + ": " + (error ? error.message() : "refused"));
    return std::nullopt;
}

} // namespace oleander::bench
