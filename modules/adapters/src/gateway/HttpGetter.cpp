#include "concurrency/AsioHeaders.h"
#include "concurrency/GrowingStringBody.h"
#include "gateway/HttpHeaders.h"

#include <oleander/adapters/gateway/HttpGetter.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace oleander {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Bytes that were read and are no whole piece of an answer yet, such as a line. Bodies do not
/// count.
constexpr std::size_t largestUnparsed = std::size_t{128} * 1024;

} // namespace

class HttpGetter::Impl : public std::enable_shared_from_this<HttpGetter::Impl>
{
public:
    Impl(asio::io_context &context, TimerService &timer, Address address, std::size_t largestBody)
        : m_context(context)
        , m_timer(timer)
        , m_address(std::move(address))
        , m_largestBody(largestBody)
        , m_socket(context)
    {
    }

    void get(const std::string &target, Duration timeout, Callback done)
    {
        m_done = std::move(done);
        m_isReused = m_isConnected;
        m_request = {http::verb::get, target, 11};
        m_request.set(http::field::host, addressText(m_address));
        m_timeout = m_timer.callAfter(timeout, [this](const TimerTick &) { fail(); });
        if (m_isConnected)
            write();
        else
            connect();
    }

    void abandon()
    {
        m_done = nullptr;
        m_timeout.reset();
        disconnect();
    }

private:
    void disconnect()
    {
        ++m_connection;
        m_isConnected = false;
        error_code ignored;
        m_socket.close(ignored);
        m_in.clear();
    }

    void connect()
    {
        m_socket = tcp::socket(m_context);
        const auto number = ++m_connection;
        error_code error;
        const tcp::endpoint endpoint(asio::ip::make_address(m_address.number, error),
                                     m_address.port);
        m_socket.async_connect(endpoint,
                               [self = shared_from_this(), number](const error_code &failure) {
                                   if (number != self->m_connection)
                                       return;
                                   error_code ignored;
                                   self->m_socket.set_option(tcp::no_delay(true), ignored);
                                   self->m_isConnected = !failure;
                                   if (failure)
                                       self->fail();
                                   else
                                       self->write();
                               });
    }

    void write()
    {
        const auto number = m_connection;
        http::async_write(
            m_socket, m_request,
            [self = shared_from_this(), number](const error_code &error, std::size_t) {
                if (number != self->m_connection)
                    return;
                if (error)
                    self->onBroken();
                else
                    self->read();
            });
    }

    void read()
    {
        const auto number = m_connection;
        m_parser.emplace();
        m_parser->body_limit(m_largestBody);
        // The header is read separately because Beast 1.74 does not enforce the body limit if the
        // first body bytes arrive together with the header.
        http::async_read_header(
            m_socket, m_in, *m_parser,
            [self = shared_from_this(), number](const error_code &error, std::size_t) {
                if (number != self->m_connection)
                    return;
                if (error)
                    self->onRead(error);
                else
                    self->readBody();
            });
    }

    void readBody()
    {
        const auto number = m_connection;
        http::async_read(m_socket, m_in, *m_parser,
                         [self = shared_from_this(), number](const error_code &error, std::size_t) {
                             if (number == self->m_connection)
                                 self->onRead(error);
                         });
    }

    void onRead(const error_code &error)
    {
        const bool isBeyondLimit = error == http::error::body_limit
                                   || (!error && m_parser->get().body().size() > m_largestBody);
        if (isBeyondLimit) {
            const int status = static_cast<int>(m_parser->get().result_int());
            m_parser.reset();
            disconnect();
            finish(HttpGetAnswer{status, {}, {}, true});
            return;
        }
        if (error) {
            onBroken();
            return;
        }
        auto message = m_parser->release();
        if (!message.keep_alive() || m_in.size() > 0)
            disconnect();
        finish(HttpGetAnswer{static_cast<int>(message.result_int()), endToEndFields(message, {}),
                             std::move(message.body()), false});
    }

    /// A kept connection may have been closed at the other end; that is tried once more.
    void onBroken()
    {
        disconnect();
        if (m_isReused) {
            m_isReused = false;
            connect();
        } else {
            fail();
        }
    }

    void fail()
    {
        disconnect();
        finish(std::nullopt);
    }

    void finish(std::optional<HttpGetAnswer> answer)
    {
        m_timeout.reset();
        const auto done = std::exchange(m_done, nullptr);
        if (done)
            done(std::move(answer));
    }

    asio::io_context &m_context;
    TimerService &m_timer;
    Address m_address;
    std::size_t m_largestBody;
    tcp::socket m_socket;
    /// Raised with each connection, so that handlers of earlier ones do nothing.
    std::uint64_t m_connection = 0;
    bool m_isConnected = false;
    bool m_isReused = false;
    http::request<http::empty_body> m_request;
    beast::flat_buffer m_in{largestUnparsed};
    std::optional<http::response_parser<GrowingStringBody>> m_parser;
    Callback m_done;
    Subscription m_timeout;
};

HttpGetter::HttpGetter(asio::io_context &context, TimerService &timer, Address address,
                       std::size_t largestBody)
    : m_impl(std::make_shared<Impl>(context, timer, std::move(address), largestBody))
{
}

HttpGetter::~HttpGetter()
{
    m_impl->abandon();
}

void HttpGetter::get(const std::string &target, Duration timeout, Callback done)
{
    m_impl->get(target, timeout, std::move(done));
}

} // namespace oleander
