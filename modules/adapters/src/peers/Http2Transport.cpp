#include "peers/Http2Transport.h"

#include <oleander/adapters/time/SteadyTime.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace oleander {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Maximum number of bytes read from a connection before its replies are sent and other connections
/// are handled. With a larger value, the answer to a PING would be delayed by too many requests.
constexpr std::size_t readBytes = 16384;
/// Frames are buffered up to this size before they are written to the socket.
constexpr std::size_t maximumOutputBytes = 262144;
/// An empty output buffer with a larger capacity than this is freed.
constexpr std::size_t retainedBufferBytes = 65536;
constexpr std::uint32_t maximumStreams = 16384;
constexpr std::uint32_t streamWindowBytes = 4194304;
constexpr std::int32_t connectionWindowBytes = 67108864;
/// Limits on stream resets by the other side: burst size, and resets per second. Cancelled calls
/// are common here; nghttp2's default of 33 resets per second would close a healthy session.
constexpr std::uint64_t resetBurst = 100000;
constexpr std::uint64_t resetsPerSecond = 50000;
/// A PING is sent if a reply is expected and no data has arrived for the first time; the connection
/// is closed if the PING is not answered within the second time.
constexpr Duration silenceBeforePing = milliseconds(100);
constexpr Duration pingTimeout = milliseconds(400);
/// Time that the other side has to close the connection first, after the last stream of a planned
/// stop.
constexpr Duration closeTimeout = seconds(1);

struct OptionDeleter
{
    void operator()(nghttp2_option *option) const { nghttp2_option_del(option); }
};
struct CallbacksDeleter
{
    void operator()(nghttp2_session_callbacks *callbacks) const
    {
        nghttp2_session_callbacks_del(callbacks);
    }
};

std::uint8_t *bytesOf(std::string_view text)
{
    // nghttp2 copies names and values and does not write to them.
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
}

std::vector<nghttp2_nv> nameValues(const Http2Headers &headers)
{
    std::vector<nghttp2_nv> result;
    result.reserve(headers.size());
    for (const auto &[name, value] : headers)
        result.push_back(
            {bytesOf(name), bytesOf(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    return result;
}

std::string_view viewOf(const std::uint8_t *bytes, std::size_t size)
{
    return {reinterpret_cast<const char *>(bytes), size};
}

} // namespace

/// Callbacks for nghttp2. The user data points to the transport.
struct Http2Transport::Callbacks
{
    static Http2Transport &transport(void *data) { return *static_cast<Http2Transport *>(data); }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *data)
    {
        if (!transport(data).m_isClosed && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            transport(data).m_listener->onStreamBegun(frame->hd.stream_id);
        // What was received behind the frame that closed the connection is not read.
        return transport(data).m_isClosed ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
    }

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                        std::uint8_t, void *data)
    {
        if (!transport(data).m_isClosed)
            transport(data).m_listener->onHeader(frame->hd.stream_id, viewOf(name, nameSize),
                                                 viewOf(value, valueSize));
        return 0;
    }

    static int onData(nghttp2_session *, std::uint8_t, std::int32_t stream,
                      const std::uint8_t *bytes, std::size_t size, void *data)
    {
        if (!transport(data).m_isClosed)
            transport(data).m_listener->onBody(stream, viewOf(bytes, size));
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *data)
    {
        Http2Transport &self = transport(data);
        if (self.m_isClosed)
            return 0;
        const bool isMessage = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (isMessage && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            self.m_listener->onMessageEnd(frame->hd.stream_id);
        if (frame->hd.type == NGHTTP2_GOAWAY)
            self.m_listener->onGoAway();
        return 0;
    }

    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *data)
    {
        const bool isRequest =
            frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
        if (isRequest && !transport(data).m_isClosed)
            transport(data).m_listener->onHeadersWritten(frame->hd.stream_id);
        return 0;
    }

    static int onStreamClosed(nghttp2_session *, std::int32_t stream, std::uint32_t error,
                              void *data)
    {
        Http2Transport &self = transport(data);
        self.m_bodies.erase(stream);
        if (!self.m_isClosed)
            self.m_listener->onStreamEnded(stream, error);
        return 0;
    }

    static ssize_t readBody(nghttp2_session *, std::int32_t, std::uint8_t *buffer, std::size_t size,
                            std::uint32_t *flags, nghttp2_data_source *source, void *)
    {
        Body &body = *static_cast<Body *>(source->ptr);
        const std::size_t count = std::min(size, body.bytes.size() - body.sent);
        std::copy_n(body.bytes.data() + body.sent, count, buffer);
        body.sent += count;
        if (body.sent == body.bytes.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }
};

Http2Transport::Http2Transport(asio::ip::tcp::socket socket, Role role, Http2Listener &listener)
    : m_socket(std::move(socket))
    , m_listener(&listener)
    , m_lastReceivedAt(steadyNow())
{
    makeSession(role);
}

Http2Transport::~Http2Transport()
{
    m_isClosed = true;
    nghttp2_session_del(m_session);
}

// Life

void Http2Transport::makeSession(Role role)
{
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    const std::unique_ptr<nghttp2_option, OptionDeleter> ownedOption(option);
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_peer_max_concurrent_streams(option, maximumStreams);
    nghttp2_option_set_stream_reset_rate_limit(option, resetBurst, resetsPerSecond);

    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    const std::unique_ptr<nghttp2_session_callbacks, CallbacksDeleter> ownedCallbacks(callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &Callbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Callbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::onFrame);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &Callbacks::onFrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::onStreamClosed);
    if (role == Role::Client)
        nghttp2_session_client_new2(&m_session, callbacks, this, option);
    else
        nghttp2_session_server_new2(&m_session, callbacks, this, option);
}

void Http2Transport::start()
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    submitSettings();
    awaitReadable();
}

void Http2Transport::submitSettings()
{
    const std::array<nghttp2_settings_entry, 3> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maximumStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    scheduleFlush();
}

void Http2Transport::close()
{
    m_isClosed = true;
    error_code ignored;
    m_socket.close(ignored);
}

void Http2Transport::goAway(std::uint32_t error, std::string_view why)
{
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(m_session), error, bytesOf(why),
                          why.size());
    scheduleFlush();
}

void Http2Transport::checkSilence(TimePoint now, bool isReplyExpected)
{
    if (m_isSendClosed && now - m_lastReceivedAt > closeTimeout) {
        end("closed after a planned stop");
        return;
    }
    if (m_isClosed)
        return;
    const bool isPingUnanswered = m_isPinged && m_pingedAt > m_lastReceivedAt;
    if ((!isReplyExpected && !isPingUnanswered) || hasUnreadData())
        return;
    if (isPingUnanswered) {
        if (now - m_pingedAt > pingTimeout)
            end("silent: no answer to a ping");
        return;
    }
    if (now - m_lastReceivedAt >= silenceBeforePing)
        ping(now);
}

void Http2Transport::ping(TimePoint now)
{
    if (m_isClosed || (m_isPinged && m_pingedAt > m_lastReceivedAt))
        return;
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    m_isPinged = true;
    m_pingedAt = now;
    scheduleFlush();
}

bool Http2Transport::hasReceivedSince(TimePoint time) const
{
    return !m_isClosed && (m_lastReceivedAt >= time || hasUnreadData());
}

bool Http2Transport::hasUnreadData() const
{
    error_code ignored;
    return m_socket.available(ignored) > 0;
}

void Http2Transport::resetSilence(TimePoint now)
{
    m_lastReceivedAt = now;
}

std::string Http2Transport::remoteAddress() const
{
    error_code error;
    const auto endpoint = m_socket.remote_endpoint(error);
    return error ? "unknown"
                 : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Streams

nghttp2_data_provider Http2Transport::provideBody(Http2StreamId stream, std::string body)
{
    Body &kept = m_bodies[stream];
    kept = {std::move(body), 0};
    nghttp2_data_provider provider{};
    provider.source.ptr = &kept;
    provider.read_callback = &Callbacks::readBody;
    return provider;
}

Http2StreamId Http2Transport::submitRequest(const Http2Headers &headers, std::string body)
{
    const auto values = nameValues(headers);
    // Without a body the stream's header frame ends the message.
    const bool hasBody = !body.empty();
    const auto stream = static_cast<Http2StreamId>(nghttp2_session_get_next_stream_id(m_session));
    nghttp2_data_provider provider{};
    if (hasBody)
        provider = provideBody(stream, std::move(body));
    const Http2StreamId given = nghttp2_submit_request(
        m_session, nullptr, values.data(), values.size(), hasBody ? &provider : nullptr, nullptr);
    if (given < 0)
        m_bodies.erase(stream);
    scheduleFlush();
    return given;
}

void Http2Transport::submitResponse(Http2StreamId stream, const Http2Headers &headers,
                                    std::string body)
{
    const auto values = nameValues(headers);
    const nghttp2_data_provider provider = provideBody(stream, std::move(body));
    nghttp2_submit_response(m_session, stream, values.data(), values.size(), &provider);
    scheduleFlush();
}

void Http2Transport::resetStream(Http2StreamId stream, std::uint32_t error)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, error);
    scheduleFlush();
}

// Reading

void Http2Transport::awaitReadable()
{
    m_socket.async_wait(asio::socket_base::wait_read,
                        [self = shared_from_this()](const error_code &error) {
                            if (!error && !self->m_isClosed)
                                self->onReadable();
                        });
}

void Http2Transport::onReadable()
{
    // One read buffer is shared by all connections of the thread, so that idle connections need no
    // buffer.
    thread_local std::array<std::uint8_t, readBytes> buffer;
    error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        end("connection ended: " + error.message());
        return;
    }
    if (!error) {
        m_lastReceivedAt = steadyNow();
        receive(buffer.data(), size);
    }
    if (m_isClosed)
        return;
    scheduleFlush();
    awaitReadable();
}

void Http2Transport::receive(const std::uint8_t *bytes, std::size_t size)
{
    if (m_isSendClosed)
        return;
    const ssize_t taken = nghttp2_session_mem_recv(m_session, bytes, size);
    if (taken < 0)
        end(std::string("not HTTP/2: ") + nghttp2_strerror(static_cast<int>(taken)));
}

// Writing

void Http2Transport::scheduleFlush()
{
    if (m_isFlushScheduled || m_isClosed)
        return;
    m_isFlushScheduled = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_isFlushScheduled = false;
        self->flush();
    });
}

void Http2Transport::flush()
{
    if (m_isAwaitingWritable)
        return;
    while (!m_isClosed && !m_isSendClosed) {
        if (!collect())
            return;
        if (m_outgoing.empty()) {
            shutDownWhenDone();
            return;
        }
        if (!writeSome())
            return;
    }
}

bool Http2Transport::collect()
{
    while (m_outgoing.size() < maximumOutputBytes) {
        const std::uint8_t *bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session, &bytes);
        if (size < 0) {
            end(std::string("can not write: ") + nghttp2_strerror(static_cast<int>(size)));
            return false;
        }
        if (size == 0 || m_isClosed)
            break;
        m_outgoing.append(viewOf(bytes, static_cast<std::size_t>(size)));
    }
    return !m_isClosed;
}

bool Http2Transport::writeSome()
{
    while (m_written < m_outgoing.size()) {
        error_code error;
        const auto rest = asio::buffer(m_outgoing) + m_written;
        const std::size_t size = m_socket.write_some(rest, error);
        m_written += size;
        if (error == asio::error::would_block) {
            awaitWritable();
            return false;
        }
        if (error) {
            end("connection ended: " + error.message());
            return false;
        }
    }
    m_written = 0;
    m_outgoing.clear();
    if (m_outgoing.capacity() > retainedBufferBytes)
        m_outgoing.shrink_to_fit();
    return true;
}

void Http2Transport::awaitWritable()
{
    m_isAwaitingWritable = true;
    m_socket.async_wait(asio::socket_base::wait_write,
                        [self = shared_from_this()](const error_code &error) {
                            self->m_isAwaitingWritable = false;
                            if (error || self->m_isClosed)
                                return;
                            if (self->writeSome())
                                self->flush();
                        });
}

void Http2Transport::shutDownWhenDone()
{
    if (nghttp2_session_want_read(m_session) != 0 || nghttp2_session_want_write(m_session) != 0)
        return;
    // Only the sending direction is shut down: the other side closes first, so that a connection
    // reset does not discard data that it has not read yet.
    m_isSendClosed = true;
    m_lastReceivedAt = steadyNow();
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void Http2Transport::end(const std::string &why)
{
    if (m_isClosed)
        return;
    const auto self = shared_from_this();
    close();
    m_listener->onTransportEnded(why);
}

} // namespace oleander
