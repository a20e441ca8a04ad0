#include "callers/HttpSession.h"

#include <oleander/adapters/time/SteadyTime.h>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace oleander {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// Asked from the system at a time while no request is under way.
constexpr std::size_t firstReadBytes = 4096;
/// Room in the buffer beside the head, for what follows it.
constexpr std::size_t spareBufferBytes = 8192;
/// After a refused request, what the client still sends is read and dropped up to these bounds, so
/// that it sees the response instead of a reset.
constexpr std::size_t maximumDroppedBytes = 1048576;
constexpr Duration lingerTime = seconds(1);

std::string toString(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

/// Ties one request to its session; the session forgets it when the request has ended.
class HttpSession::Exchange : public HttpExchange
{
public:
    explicit Exchange(std::weak_ptr<HttpSession> session)
        : m_session(std::move(session))
    {
    }

    void respond(HttpResponse response) override
    {
        m_callback = nullptr;
        const auto session = m_session.lock();
        if (session && session->m_exchange.get() == this)
            session->respond(std::move(response));
    }

    void onGone(std::function<void()> callback) override { m_callback = std::move(callback); }

    void gone()
    {
        const auto callback = std::exchange(m_callback, nullptr);
        if (callback)
            callback();
    }

private:
    std::weak_ptr<HttpSession> m_session;
    std::function<void()> m_callback;
};

HttpSession::HttpSession(asio::ip::tcp::socket socket, HttpSessionOwner &owner)
    : m_stream(std::move(socket))
    , m_owner(&owner)
    , m_buffer(owner.limits().maximumHeadBytes + spareBufferBytes)
{
}

void HttpSession::start()
{
    ErrorCode ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    m_stream.socket().non_blocking(true, ignored);
    awaitRequest();
}

void HttpSession::close()
{
    if (m_state == State::Closed)
        return;
    const State former = std::exchange(m_state, State::Closed);
    releaseBody();
    m_stream.close();
    const auto exchange = std::exchange(m_exchange, nullptr);
    if (exchange && former == State::Handling)
        exchange->gone();
}

void HttpSession::closeIfIdle()
{
    ErrorCode error;
    // What has arrived already is a request that is to be answered.
    if (m_state != State::Idle || m_stream.socket().available(error) > 0)
        return;
    m_state = State::Lingering;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    m_stream.cancel();
}

void HttpSession::evict()
{
    end();
}

// Reading

void HttpSession::awaitRequest()
{
    m_state = State::Idle;
    m_waitingSince = steadyNow();
    m_parser.reset();
    m_response.reset();
    if (m_buffer.size() > 0) {
        readHead();
        return;
    }
    m_stream.expires_after(m_owner->limits().idleTimeout);
    m_stream.async_read_some(
        m_buffer.prepare(firstReadBytes),
        [self = shared_from_this()](const ErrorCode &error, std::size_t bytes) {
            self->onFirstBytes(error, bytes);
        });
}

void HttpSession::onFirstBytes(const ErrorCode &error, std::size_t bytes)
{
    if (m_state == State::Lingering)
        dropRest();
    if (m_state != State::Idle)
        return;
    m_buffer.commit(bytes);
    if (error)
        end();
    else
        readHead();
}

void HttpSession::readHead()
{
    m_state = State::Reading;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_owner->limits().maximumHeadBytes));
    m_parser->body_limit(m_owner->limits().maximumBodyBytes);
    m_stream.expires_after(m_owner->limits().requestTimeout);
    http::async_read_header(m_stream, m_buffer, *m_parser,
                            [self = shared_from_this()](const ErrorCode &error, std::size_t) {
                                if (self->m_state == State::Reading)
                                    self->onHead(error);
                            });
}

void HttpSession::onHead(const ErrorCode &error)
{
    if (error) {
        onReadError(error);
        return;
    }
    ++m_owner->statistics().requests;
    const auto &message = m_parser->get();
    m_httpVersion = message.version();
    m_isKept = m_parser->keep_alive();
    const HttpRequest head{toString(message.method_string()), toString(message.target()), {}};
    if (auto refusal = m_owner->handler().refuseHead(head)) {
        write(std::move(*refusal), false);
        return;
    }
    if (!reserveBody()) {
        refuse(ErrorKind::Overloaded, "too many request bodies are being read");
        return;
    }
    if (beast::iequals(message[http::field::expect], "100-continue"))
        sendContinue();
    else
        readBody();
}

void HttpSession::readBody()
{
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](const ErrorCode &error, std::size_t) {
                         if (self->m_state == State::Reading)
                             self->onBody(error);
                     });
}

void HttpSession::onBody(const ErrorCode &error)
{
    if (error) {
        onReadError(error);
        return;
    }
    auto &message = m_parser->get();
    HttpRequest request{toString(message.method_string()), toString(message.target()),
                        std::move(message.body())};
    m_state = State::Handling;
    m_stream.expires_never();
    m_exchange = std::make_shared<Exchange>(weak_from_this());
    const auto exchange = m_exchange;
    m_owner->handler().onRequest(std::move(request), exchange);
    if (m_state == State::Handling)
        watchForEnd();
}

bool HttpSession::reserveBody()
{
    const auto stated = m_parser->content_length();
    const std::size_t bytes =
        m_parser->chunked() ? m_owner->limits().maximumBodyBytes : stated.value_or(0);
    if (!m_owner->reserveBody(bytes))
        return false;
    m_reservedBytes = bytes;
    return true;
}

void HttpSession::releaseBody()
{
    m_owner->releaseBody(std::exchange(m_reservedBytes, 0));
}

void HttpSession::sendContinue()
{
    auto response =
        std::make_shared<http::response<http::empty_body>>(http::status::continue_, m_httpVersion);
    http::async_write(m_stream, *response,
                      [self = shared_from_this(), response](const ErrorCode &error, std::size_t) {
                          if (self->m_state != State::Reading)
                              return;
                          if (error)
                              self->end();
                          else
                              self->readBody();
                      });
}

void HttpSession::onReadError(const ErrorCode &error)
{
    if (error == http::error::end_of_stream || error == asio::error::connection_reset) {
        end();
        return;
    }
    if (error == beast::error::timeout || error == http::error::partial_message) {
        // The stream is closed already, or the client has nothing left to read.
        ++m_owner->statistics().protocolErrors;
        m_owner->handler().onProtocolError("a request was not complete: " + error.message());
        end();
        return;
    }
    if (error == http::error::body_limit) {
        refuse(ErrorKind::BodyTooLarge, "the body is longer than "
                                            + std::to_string(m_owner->limits().maximumBodyBytes)
                                            + " bytes");
    } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        refuse(ErrorKind::BadRequest, "the request line and headers are longer than "
                                          + std::to_string(m_owner->limits().maximumHeadBytes)
                                          + " bytes");
    } else {
        refuse(ErrorKind::BadRequest, "not a well-formed HTTP request: " + error.message());
    }
}

void HttpSession::refuse(ErrorKind kind, const std::string &text)
{
    ++m_owner->statistics().protocolErrors;
    m_owner->handler().onProtocolError(text);
    write(m_owner->handler().errorResponse(kind, text), false);
}

// Handling

void HttpSession::watchForEnd()
{
    m_stream.socket().async_wait(
        asio::socket_base::wait_read,
        [self = shared_from_this(), exchange = m_exchange](const ErrorCode &error) {
            if (!error && exchange == self->m_exchange && self->m_state == State::Handling)
                self->onReadable();
        });
}

void HttpSession::onReadable()
{
    char next = 0;
    ErrorCode error;
    const std::size_t bytes =
        m_stream.socket().receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
    // A byte that was sent ahead stays where it is; the end behind it is not seen then.
    const bool isGone = bytes == 0 && error != asio::error::would_block;
    if (isGone)
        onGone();
}

void HttpSession::onGone()
{
    const auto exchange = std::exchange(m_exchange, nullptr);
    end();
    exchange->gone();
}

void HttpSession::respond(HttpResponse response)
{
    m_exchange.reset();
    ErrorCode ignored;
    m_stream.socket().cancel(ignored);
    write(std::move(response), m_isKept && !m_owner->isStopping());
}

// Writing

void HttpSession::write(HttpResponse response, bool isKept)
{
    m_state = State::Writing;
    m_waitingSince = steadyNow();
    m_isKept = isKept;
    releaseBody();
    m_response.emplace(static_cast<http::status>(response.status), m_httpVersion);
    m_response->set(http::field::content_type, response.contentType);
    if (!response.allow.empty())
        m_response->set(http::field::allow, response.allow);
    m_response->body() = std::move(response.body);
    m_response->keep_alive(isKept);
    m_response->prepare_payload();
    m_stream.expires_after(m_owner->limits().responseTimeout);
    http::async_write(m_stream, *m_response,
                      [self = shared_from_this()](const ErrorCode &error, std::size_t) {
                          if (self->m_state == State::Writing)
                              self->onWritten(error);
                      });
}

void HttpSession::onWritten(const ErrorCode &error)
{
    if (error)
        end();
    else if (m_isKept)
        awaitRequest();
    else
        linger();
}

void HttpSession::linger()
{
    m_state = State::Lingering;
    ErrorCode error;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error) {
        end();
        return;
    }
    dropRest();
}

void HttpSession::dropRest()
{
    m_stream.expires_after(lingerTime);
    readAndDrop();
}

void HttpSession::readAndDrop()
{
    m_buffer.clear();
    m_stream.async_read_some(
        m_buffer.prepare(firstReadBytes),
        [self = shared_from_this()](const ErrorCode &error, std::size_t bytes) {
            if (self->m_state != State::Lingering)
                return;
            self->m_droppedBytes += bytes;
            if (error || self->m_droppedBytes > maximumDroppedBytes)
                self->end();
            else
                self->readAndDrop();
        });
}

void HttpSession::end()
{
    if (m_state == State::Closed)
        return;
    const auto self = shared_from_this();
    m_state = State::Closed;
    releaseBody();
    m_stream.close();
    m_owner->onSessionEnded(*this);
}

} // namespace oleander
