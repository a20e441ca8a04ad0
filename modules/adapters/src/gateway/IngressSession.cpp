#include "gateway/IngressSession.h"

#include "gateway/HttpHeaders.h"

#include <oleander/gateway/HttpStatus.h>

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace oleander {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using gateway::CallerAnswer;

namespace {

/// Bytes that are read of one connection before others have their turn.
constexpr std::size_t readSize = std::size_t{16} * 1024;
/// The same of a chunked body. A chunk of one byte takes six bytes and some 0.1 us, so that a
/// thousand clients that send such chunks delay the others by 35 ms for each read of all of them.
constexpr std::size_t chunkedReadSize = std::size_t{2} * 1024;
/// More than the time after which a lost packet is sent again, 200 ms.
constexpr Duration stalledTime = milliseconds(250);
/// Bytes of one request that may wait until more of it comes: its head, or the head of a chunk.
constexpr std::size_t unparsedLimit = std::size_t{64} * 1024;
/// Bytes of further requests that are taken in while one is answered. Callers that wait for each
/// answer send none.
constexpr std::size_t readAhead = std::size_t{16} * 1024;
/// Send buffer of the system for one connection. Larger answers get a larger one while little
/// memory is held.
constexpr std::size_t sendBufferBytes = std::size_t{16} * 1024;
/// The largest buffer that one connection gets: at a delay of 3 ms to callers it allows 87 MB a
/// second.
constexpr std::size_t largestBufferBytes = std::size_t{256} * 1024;
/// A session's parser without fields.
constexpr std::size_t parserBytes = 2048;
/// What each field of a head takes beside its text: the parser's node, and as many bytes again for
/// the strings of the request that is passed on.
constexpr std::size_t fieldBytes = 96;
/// Seconds after which refused callers may come again. Connections that hold much memory are closed
/// at once; callers honour at most a third of the time they have left, of 250 ms at least.
constexpr const char *memoryRetryAfter = "0.05";

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

/// Memory that the fields of a head take.
std::size_t memoryOf(const http::fields &fields)
{
    std::size_t bytes = 0;
    for (const auto &field : fields)
        bytes += fieldBytes + field.name_string().size() + field.value().size();
    return bytes;
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
    , m_progressAt(m_waitingSince)
    , m_unfinished(m_shared->memory, MemoryHolder::UnfinishedRequests)
    , m_underWay(m_shared->memory, MemoryHolder::RequestsUnderWay)
    , m_ahead(m_shared->memory, MemoryHolder::ReadAhead)
    , m_unread(m_shared->memory, MemoryHolder::Answers)
{
}

void IngressSession::start()
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
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
    m_parser.reset();
    m_in = {};
    m_unfinished.set(0);
    m_underWay.set(0);
    m_ahead.set(0);
    m_unread.set(0);
    m_shared->whenClosed(*this);
}

void IngressSession::closeIfOverdue(TimePoint now)
{
    const gateway::CallerLimits &limits = m_shared->limits;
    const Duration waited = now - m_waitingSince;
    if (m_phase != Phase::Closed && !m_isWriting && m_unread.bytes() > 0)
        chargeUnread();
    if ((m_phase == Phase::Idle && !m_isWriting && waited > limits.idleTimeout)
        || (m_phase == Phase::Receiving && waited > limits.headerTimeout)) {
        close();
    } else if (m_isWriting && now - m_writingSince > limits.idleTimeout) {
        ++m_shared->counts.unread;
        close();
    }
}

bool IngressSession::isStalled(TimePoint now) const
{
    return isReceiving() && now - m_progressAt > stalledTime;
}

HeldConnection IngressSession::held(TimePoint now) const
{
    const TimePoint begun = m_isWriting || m_unread.bytes() > 0 ? m_writingSince : m_waitingSince;
    return {m_unfinished.bytes() + m_ahead.bytes() + m_unread.bytes(), now - begun,
            now - m_progressAt};
}

void IngressSession::read()
{
    const std::size_t limit = m_phase == Phase::Answering ? readAhead : unparsedLimit;
    if (m_isReading || m_phase == Phase::Closed || m_in.size() >= limit)
        return;
    m_isReading = true;
    // Waiting needs no buffer, so that idle connections hold none.
    m_socket.async_wait(
        asio::socket_base::wait_read,
        [self = shared_from_this()](const error_code &error) { self->onReadable(error); });
}

void IngressSession::onReadable(const error_code &error)
{
    m_isReading = false;
    if (m_phase == Phase::Closed)
        return;
    thread_local std::array<char, readSize> buffer;
    const bool isChunked = m_parser && m_parser->is_header_done() && m_parser->chunked();
    error_code failure = error;
    std::size_t count = 0;
    if (!failure)
        count = m_socket.read_some(asio::buffer(buffer, isChunked ? chunkedReadSize : readSize),
                                   failure);
    if (failure == asio::error::would_block) {
        read();
        return;
    }
    if (failure) {
        close();
        return;
    }
    m_progressAt = m_shared->timer.now();
    if (m_isClosing) {
        read();
        return;
    }
    take(asio::buffer(buffer.data(), count));
}

void IngressSession::take(asio::const_buffer bytes)
{
    m_in.commit(asio::buffer_copy(m_in.prepare(bytes.size()), bytes));
    if (m_phase == Phase::Answering)
        read();
    else
        parse();
    if (m_phase == Phase::Closed)
        return;
    if (m_in.size() == 0)
        m_in.shrink_to_fit();
    chargeReading();
    if (m_shared->memory)
        m_shared->memory->reclaim();
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
        m_isAdmitted = false;
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
    if (m_parser->is_header_done() && !m_isAdmitted && !admit())
        return;
    if (m_parser->is_done()) {
        onRequest();
        return;
    }
    if (m_parser->is_header_done())
        onHeader();
    if (m_in.size() >= unparsedLimit) {
        refuseMalformed(http::error::header_limit);
        return;
    }
    read();
}

/// Decides whether the body may be read. False when it was refused or the connection was closed.
bool IngressSession::admit()
{
    m_isAdmitted = true;
    m_headBytes = memoryOf(m_parser->get());
    const auto stated = m_parser->content_length();
    const std::size_t bodyBytes =
        m_parser->chunked() ? m_shared->limits.bodyBytes : stated.value_or(0);
    if (!m_shared->memory || bodyBytes == 0)
        return true;
    // The length of a chunked body is not known; it is charged as it grows.
    const std::size_t bytes = m_headBytes + (m_parser->chunked() ? parserBytes : bodyBytes);
    const bool hasRoom = m_shared->memory->makeRoom(MemoryHolder::UnfinishedRequests, bytes);
    if (m_phase == Phase::Closed)
        return false;
    if (!hasRoom) {
        refuseForMemory();
        return false;
    }
    if (!m_parser->is_done())
        enlargeReceiveBuffer(bodyBytes);
    return true;
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
    // The copy that is sent to a server needs as much again.
    const std::size_t bytes = 2 * (m_parser->get().body().size() + m_headBytes + parserBytes);
    m_unfinished.set(0);
    const bool hasRoom =
        !m_shared->memory || m_shared->memory->makeRoom(MemoryHolder::RequestsUnderWay, bytes);
    if (m_phase == Phase::Closed)
        return;
    if (!hasRoom) {
        refuseForMemory();
        return;
    }
    m_underWay.set(bytes);
    restoreReceiveBuffer();
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

/// Refuses a request that was not passed on.
void IngressSession::refuseForMemory()
{
    m_requestId = RequestId(std::string(m_parser->get()[m_shared->names.requestId]));
    m_isHead = m_parser->get().method() == http::verb::head;
    const bool isKept = m_parser->is_done() && m_parser->keep_alive();
    m_shared->memory->countRefusal();
    refuse({gateway::statusUnavailable,
            {{"Retry-After", memoryRetryAfter}},
            "request refused: too much memory is in use\n"},
           isKept);
}

void IngressSession::refuse(const CallerAnswer &answer, bool isKept)
{
    m_parser.reset();
    m_phase = Phase::Answering;
    m_isClosing = !isKept;
    ++m_requestNumber;
    restoreReceiveBuffer();
    chargeReading();
    write(answer);
}

void IngressSession::refuseMalformed(const error_code &error)
{
    ++m_shared->counts.malformed;
    int status = gateway::statusBadRequest;
    if (error == http::error::header_limit)
        status = gateway::statusHeaderTooLarge;
    else if (error == http::error::body_limit)
        status = gateway::statusTooLarge;
    m_isHead = false;
    m_requestId = RequestId();
    refuse({status, {}, "request refused: " + error.message() + "\n"}, false);
}

void IngressSession::answer(const CallerAnswer &answer)
{
    m_call.reset();
    m_underWay.set(0);
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
    m_progressAt = m_writingSince;
    fitSendBuffer();
    m_unread.set(m_out.capacity() + m_sendBuffer);
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
    m_out = {};
    chargeUnread();
    m_waitingSince = m_shared->timer.now();
    if (m_isClosing) {
        discardUntilClosed();
        return;
    }
    m_phase = Phase::Idle;
    parse();
    if (m_phase != Phase::Closed)
        chargeReading();
    if (m_shared->memory)
        m_shared->memory->reclaim();
}

void IngressSession::discardUntilClosed()
{
    // Closing with unread bytes would reset the connection, and the answer could be lost with it.
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_phase = Phase::Receiving;
    m_in = {};
    chargeReading();
    read();
}

// Memory

void IngressSession::enlargeReceiveBuffer(std::size_t bodyBytes)
{
    const std::size_t bytes = std::min(bodyBytes, largestBufferBytes);
    if (bytes <= receiveBufferBytes || !m_shared->memory->isAmple())
        return;
    error_code ignored;
    m_socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
    m_receiveBuffer = bytes;
}

void IngressSession::restoreReceiveBuffer()
{
    if (m_receiveBuffer == receiveBufferBytes)
        return;
    error_code ignored;
    m_receiveBuffer = receiveBufferBytes;
    m_socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(m_receiveBuffer)),
                        ignored);
}

void IngressSession::fitSendBuffer()
{
    if (!m_shared->memory)
        return;
    const std::size_t wanted = std::clamp(m_out.size(), sendBufferBytes, largestBufferBytes);
    const std::size_t bytes = m_shared->memory->isAmple() ? wanted : sendBufferBytes;
    if (bytes == m_sendBuffer)
        return;
    error_code ignored;
    m_sendBuffer = bytes;
    m_socket.set_option(asio::socket_base::send_buffer_size(static_cast<int>(bytes)), ignored);
}

/// Charges the part of an answer that the system holds until the caller takes it.
void IngressSession::chargeUnread()
{
    int bytes = 0;
    if (!m_shared->memory || ::ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes) != 0)
        bytes = 0;
    m_unread.set(static_cast<std::size_t>(std::max(bytes, 0)));
}

/// Charges what was read, and the system's buffer where it is larger than each connection's.
void IngressSession::chargeReading()
{
    const std::size_t buffered = m_in.capacity() + m_receiveBuffer - receiveBufferBytes;
    if (m_phase == Phase::Receiving && m_parser) {
        const std::size_t headBytes = m_isAdmitted ? m_headBytes : 0;
        m_unfinished.set(buffered + m_parser->get().body().capacity() + headBytes + parserBytes);
        m_ahead.set(0);
        return;
    }
    m_unfinished.set(0);
    m_ahead.set(m_in.size() == 0 ? 0 : buffered);
}

} // namespace oleander
