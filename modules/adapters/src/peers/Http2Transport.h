#pragma once

#include "concurrency/AsioHeaders.h"

#include <oleander/core/Units.h>

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oleander {

using Http2StreamId = std::int32_t;
using Http2Headers = std::vector<std::pair<std::string_view, std::string_view>>;

/// Receives the events of one HTTP/2 connection.
class Http2Listener
{
public:
    virtual ~Http2Listener() = default;

    virtual void onStreamBegun(Http2StreamId stream) = 0;
    virtual void onHeader(Http2StreamId stream, std::string_view name, std::string_view value) = 0;
    virtual void onBody(Http2StreamId stream, std::string_view bytes) = 0;
    /// The other side has sent its complete message.
    virtual void onMessageEnd(Http2StreamId stream) = 0;
    /// The request headers were written; from now on the other side may have received the request.
    virtual void onHeadersWritten(Http2StreamId stream) = 0;
    /// Last event of a stream, with an HTTP/2 error code.
    virtual void onStreamEnded(Http2StreamId stream, std::uint32_t error) = 0;
    /// The other side accepts no new streams.
    virtual void onGoAway() = 0;
    /// Last event of the connection. onStreamEnded() is not called for streams that are still open.
    virtual void onTransportEnded(const std::string &why) = 0;
};

/// One HTTP/2 connection: transfers data between a socket and an nghttp2 session.
///
/// Frames submitted while events are handled are written together afterwards. A stream ends with
/// onStreamEnded() or with the transport. Not thread-safe.
class Http2Transport : public std::enable_shared_from_this<Http2Transport>
{
public:
    enum class Role { Client, Server };

    /// The listener must outlive the transport or close() it.
    Http2Transport(boost::asio::ip::tcp::socket socket, Role role, Http2Listener &listener);
    Http2Transport(const Http2Transport &) = delete;
    Http2Transport &operator=(const Http2Transport &) = delete;
    ~Http2Transport();

    // Opening and closing
    void start();
    /// Closes the connection immediately; the listener receives no further events.
    void close();
    /// Sends GOAWAY, so that no new streams are accepted. The connection ends after its last stream
    /// has ended.
    void goAway(std::uint32_t error, std::string_view why);
    /// Sends a PING if a reply is expected and no data has arrived for some time, and closes the
    /// connection if the PING is not answered. Must be called periodically. `isReplyExpected` tells
    /// whether the other side has to send something.
    void checkSilence(TimePoint now, bool isReplyExpected);
    /// Sends a PING now, unless one is unanswered. checkSilence() closes the connection if the PING
    /// is not answered in time.
    void ping(TimePoint now);
    /// True when data has arrived since `time`, even if it was not read yet.
    [[nodiscard]] bool hasReceivedSince(TimePoint time) const;
    /// Restarts the time without received data, because this process itself was paused.
    void resetSilence(TimePoint now);
    [[nodiscard]] TimePoint lastReceivedAt() const { return m_lastReceivedAt; }
    [[nodiscard]] std::string remoteAddress() const;

    // Streams
    Http2StreamId submitRequest(const Http2Headers &headers, std::string body);
    void submitResponse(Http2StreamId stream, const Http2Headers &headers, std::string body);
    void resetStream(Http2StreamId stream, std::uint32_t error);

private:
    struct Body
    {
        std::string bytes;
        std::size_t sent = 0;
    };
    struct Callbacks;
    friend struct Callbacks;

    [[nodiscard]] bool hasUnreadData() const;
    void makeSession(Role role);
    void submitSettings();
    nghttp2_data_provider provideBody(Http2StreamId stream, std::string body);
    void awaitReadable();
    void onReadable();
    void receive(const std::uint8_t *bytes, std::size_t size);
    void scheduleFlush();
    void flush();
    bool collect();
    bool writeSome();
    void awaitWritable();
    void shutDownWhenDone();
    void end(const std::string &why);

    boost::asio::ip::tcp::socket m_socket;
    Http2Listener *m_listener;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<Http2StreamId, Body> m_bodies;
    std::string m_outgoing;
    std::size_t m_written = 0;
    TimePoint m_lastReceivedAt;
    TimePoint m_pingedAt;
    bool m_isPinged = false;
    bool m_isFlushScheduled = false;
    bool m_isAwaitingWritable = false;
    bool m_isSendClosed = false;
    bool m_isClosed = false;
};

} // namespace oleander
