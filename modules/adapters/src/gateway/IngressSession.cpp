#include "gateway/IngressSession.h"

#include "gateway/HttpHeaders.h"

#include <oleander/gateway/HttpStatus.h>

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace oleander {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using gateway::CallerAnswer;

namespace {

constexpr std::size_t readSize = std::size_t{8} * 1024;
/// Bytes of further requests that are taken in while one is answered.
constexpr std::size_t readAhead = std::size_t{64} * 1024;

/// Callers that wait longer are taken to wait so long; larger numbers would overflow a duration.
constexpr milliseconds longestCallerTimeout = std::chrono::hours(24);

/// The round trip that TCP has measured on the connection, if the system states it.
std::optional<Duration> roundTripOf(asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    const int result = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
    if (result != 0 || info.tcpi_rtt == 0)
        return std::nullopt;
    return microseconds(info.tcpi_rtt);
}

std::string_view viewOf(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<Duration> parseMilliseconds(std::string_view text)
{
    std::int64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec == std::errc::result_out_of_range && !text.starts_with('-'))
        return longestCallerTimeout;
    if (result.ec != std::errc{} || number < 0)
        return std::nullopt;
    return std::min(milliseconds(number), longestCallerTimeout);
}

/// Whether the body's length is known: Beast takes a body whose last transfer coding is not chunked
/// for an empty one, and what follows for another request. Other codings beside chunked would have
/// to be decoded.
bool isTransferCodingKnown(const http::fields &fields)
{
    const auto coding = fields.find(http::field::transfer_encoding);
    return coding == fields.end() || beast::iequals(coding->value(), "chunked");
}

/// Beast accepts folded lines (obs-fold); what lies beyond may read them otherwise.
bool hasFoldedLine(std::string_view head)
{
    const auto end = head.find("\r\n\r\n");
    const std::string_view lines = head.substr(0, end);
    return lines.find("\r\n ") != std::string_view::npos
           || lines.find("\r\n\t") != std::string_view::npos;
}

} // namespace

IngressSession::IngressSession(std::shared_ptr<IngressShared> shared, asio::ip::tcp::socket socket)
    : m_shared(std::move(shared))
    , m_socket(std::move(socket))
    , m_waitingSince(m_shared->timer.now())
{
}

void IngressSession::start()
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    read();
}

void IngressSession::close()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    ++m_requestNumber;
    const auto call = std::exchange(m_call, nullptr);
    if (call)
        call->onCallerDisconnected();
    error_code ignored;
    m_socket.close(ignored);
    m_shared->whenClosed(*this);
}

void IngressSession::closeIfOverdue(TimePoint now)
{
    const gateway::CallerLimits &limits = m_shared->limits;
    const Duration waited = now - m_waitingSince;
    if ((m_phase == Phase::Idle && !m_isWriting && waited > limits.idleTimeout)
        || (m_phase == Phase::Receiving && waited > limits.headerTimeout)) {
        close();
    } else if (m_isWriting && now - m_writingSince > limits.idleTimeout) {
        ++m_shared->counts.unread;
        close();
    }
}

void IngressSession::read()
{
    if (m_isReading || m_phase == Phase::Closed || m_in.size() >= readAhead)
        return;
    m_isReading = true;
    m_socket.async_read_some(
        m_in.prepare(readSize),
        [self = shared_from_this()](const error_code &error, std::size_t count) {
            self->onRead(error, count);
        });
}

void IngressSession::onRead(const error_code &error, std::size_t count)
{
    m_isReading = false;
    if (m_phase == Phase::Closed)
        return;
    if (error) {
        close();
        return;
    }
    m_in.commit(count);
    if (m_isClosing) {
        m_in.clear();
        read();
        return;
    }
    if (m_phase == Phase::Answering)
        read();
    else
        parse();
}

void IngressSession::parse()
{
    if (m_in.size() == 0) {
        read();
        return;
    }
    if (m_phase == Phase::Idle) {
        m_phase = Phase::Receiving;
        m_waitingSince = m_shared->timer.now();
        m_wasContinueSent = false;
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(static_cast<std::uint32_t>(m_shared->limits.headerBytes));
        m_parser->body_limit(m_shared->limits.bodyBytes);
    }
    if (!m_parser->is_header_done()) {
        const auto data = m_in.data();
        if (hasFoldedLine({static_cast<const char *>(data.data()), data.size()})) {
            refuseMalformed(http::error::bad_obs_fold);
            return;
        }
    }
    error_code error;
    m_in.consume(m_parser->put(m_in.data(), error));
    if (error && error != http::error::need_more) {
        refuseMalformed(error);
        return;
    }
    if (m_parser->is_header_done() && !isTransferCodingKnown(m_parser->get())) {
        refuseMalformed(http::error::bad_transfer_encoding);
        return;
    }
    if (m_parser->is_done()) {
        onRequest();
        return;
    }
    if (m_parser->is_header_done())
        onHeader();
    if (m_in.size() >= readAhead) {
        refuseMalformed(http::error::header_limit);
        return;
    }
    read();
}

void IngressSession::onHeader()
{
    const auto expectation = m_parser->get()[http::field::expect];
    if (m_wasContinueSent || !beast::iequals(expectation, "100-continue"))
        return;
    m_wasContinueSent = true;
    m_out = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket, asio::buffer(m_out),
                      [self = shared_from_this()](const error_code &, std::size_t) {
                          // A failed write shows at the next read.
                      });
}

void IngressSession::onRequest()
{
    ++m_shared->counts.requests;
    m_phase = Phase::Answering;
    auto message = m_parser->release();
    m_parser.reset();
    m_isClosing = !message.keep_alive();
    m_isHead = message.method() == http::verb::head;
    const HeaderNames &names = m_shared->names;
    const std::array excluded{names.requestId, names.callerTimeout, names.expectedServer,
                              std::string("Host")};
    auto request = std::make_shared<gateway::CallerRequest>();
    request->id = RequestId(std::string(message[names.requestId]));
    request->method = std::string(message.method_string());
    request->target = std::string(message.target());
    request->host = std::string(message[http::field::host]);
    request->fields = endToEndFields(message, excluded);
    request->callerTimeout = parseMilliseconds(viewOf(message[names.callerTimeout]));
    request->callerRoundTrip = roundTripOf(m_socket);
    request->body = std::move(message.body());
    request->arrived = m_waitingSince;
    m_requestId = request->id;
    const std::uint64_t number = ++m_requestNumber;
    m_call = m_shared->handler(std::move(request),
                               [weak = weak_from_this(), number](const CallerAnswer &answer) {
                                   const auto self = weak.lock();
                                   if (self && number == self->m_requestNumber)
                                       self->answer(answer);
                               });
    // Also while it is answered: only reading shows that the caller has left.
    read();
}

void IngressSession::refuseMalformed(const error_code &error)
{
    ++m_shared->counts.malformed;
    int status = gateway::statusBadRequest;
    if (error == http::error::header_limit)
        status = gateway::statusHeaderTooLarge;
    else if (error == http::error::body_limit)
        status = gateway::statusTooLarge;
    m_parser.reset();
    m_phase = Phase::Answering;
    m_isClosing = true;
    m_isHead = false;
    m_requestId = RequestId();
    ++m_requestNumber;
    write({status, {}, "request refused: " + error.message() + "\n"});
}

void IngressSession::answer(const CallerAnswer &answer)
{
    m_call.reset();
    write(answer);
}

void IngressSession::write(const CallerAnswer &answer)
{
    m_isClosing = m_isClosing || m_shared->isStopping;
    std::string &text = m_out;
    text.clear();
    text.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
    const auto reason =
        http::obsolete_reason(http::int_to_status(static_cast<unsigned>(answer.status)));
    text.append(reason.data(), reason.size()).append("\r\n");
    const auto add = [&text](std::string_view name, std::string_view value) {
        text.append(name).append(": ").append(value).append("\r\n");
    };
    bool hasId = m_requestId.isEmpty();
    for (const gateway::HttpField &field : answer.fields) {
        add(field.name, field.value);
        hasId = hasId || beast::iequals(field.name, m_shared->names.requestId);
    }
    if (!hasId)
        add(m_shared->names.requestId, m_requestId.text());
    add("Content-Length", std::to_string(answer.body.size()));
    if (m_isClosing)
        add("Connection", "close");
    text.append("\r\n");
    if (!m_isHead)
        text += answer.body;
    m_isWriting = true;
    m_writingSince = m_shared->timer.now();
    asio::async_write(m_socket, asio::buffer(m_out),
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          self->onWritten(error);
                      });
}

void IngressSession::onWritten(const error_code &error)
{
    m_isWriting = false;
    if (m_phase == Phase::Closed)
        return;
    if (error) {
        close();
        return;
    }
    m_waitingSince = m_shared->timer.now();
    if (m_isClosing) {
        discardUntilClosed();
        return;
    }
    m_phase = Phase::Idle;
    parse();
}

void IngressSession::discardUntilClosed()
{
    // Closing with unread bytes would reset the connection, and the answer could be lost with it.
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_phase = Phase::Receiving;
    m_in.clear();
    read();
}

} // namespace oleander
