#include "concurrency/AsioHeaders.h"
#include "concurrency/GrowingStringBody.h"
#include "gateway/HttpHeaders.h"

#include <oleander/adapters/gateway/AsioServerLinks.h>
#include <oleander/gateway/HttpStatus.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <netinet/tcp.h>
#include <unordered_set>
#include <utility>

namespace oleander {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using gateway::LinkEnd;
using gateway::ServerReply;
using tcp = asio::ip::tcp;

/// Larger replies end the connection: they are held whole in memory.
constexpr std::size_t largestBody = std::size_t{8} * 1024 * 1024;
constexpr std::size_t largestHeader = std::size_t{32} * 1024;
constexpr std::size_t readSize = std::size_t{8} * 1024;
/// Sent bytes that are not acknowledged for this long end the connection.
constexpr Duration unacknowledgedLimit = seconds(3);
/// Requests of this size fit in the receive buffer of any server. The system takes larger ones that
/// a server does not read for unacknowledged, though the server acknowledges all that is sent to
/// it.
constexpr std::size_t largestSurelyBuffered = std::size_t{4} * 1024;
/// Interim replies and replies to earlier requests that are skipped before the one that is awaited.
constexpr int maximumSkippedReplies = 16;

/// The pace in a load report: 100 is normal. Limits bound what a corrupt figure can do to the
/// choice of servers.
std::optional<double> parsePace(std::string_view text)
{
    constexpr double normal = 100;
    constexpr double lowest = 10;
    constexpr double highest = 10'000;
    double number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc{} || !std::isfinite(number) || number <= 0)
        return std::nullopt;
    return std::clamp(number, lowest, highest) / normal;
}

/// Running, waiting and slots, and the pace if the server states it.
std::optional<gateway::ReportedLoad> parseLoad(std::string_view text)
{
    std::array<int, 3> numbers{};
    const char *next = text.data();
    const char *const end = text.data() + text.size();
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        if (index > 0 && (next == end || *next++ != ','))
            return std::nullopt;
        const auto result = std::from_chars(next, end, numbers[index]);
        if (result.ec != std::errc{})
            return std::nullopt;
        next = result.ptr;
    }
    gateway::ReportedLoad load{numbers[0], numbers[1], numbers[2]};
    if (next != end && *next == ',')
        load.pace = parsePace({next + 1, static_cast<std::size_t>(end - next - 1)});
    return load;
}

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc{} || !std::isfinite(number) || number < 0)
        return std::nullopt;
    return number;
}

/// A delay in seconds, which may have fractions. A date is not understood.
std::optional<Duration> parseDelay(std::string_view text)
{
    constexpr double longest = 86'400;
    const auto number = parseDecimal(text);
    if (!number)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(*number, longest)));
}

/// A time in milliseconds, which may have fractions.
std::optional<Duration> parseMilliseconds(std::string_view text)
{
    constexpr double longest = 86'400'000;
    const auto number = parseDecimal(text);
    if (!number)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(std::min(*number, longest)));
}

/// The time in "timeout=5, max=100".
std::optional<Duration> parseKeepAlive(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const auto position = text.find(key);
    if (position == std::string_view::npos)
        return std::nullopt;
    int number = 0;
    const char *const begin = text.data() + position + key.size();
    const auto result = std::from_chars(begin, text.data() + text.size(), number);
    if (result.ec != std::errc{})
        return std::nullopt;
    return seconds(number);
}

std::string_view viewOf(beast::string_view text)
{
    return {text.data(), text.size()};
}

class Connection;

} // namespace

/// Unfinished replies of all connections.
struct AsioServerLinks::HeldReplies
{
    std::size_t bytes = 0;
    std::size_t limit = maximumHeldBytes;
    /// The connections that hold bytes.
    std::unordered_set<Connection *> connections;
};

namespace {

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &context, const HeaderNames &names,
               gateway::ServerLinkListener &listener,
               std::shared_ptr<AsioServerLinks::HeldReplies> heldByAll)
        : m_socket(context)
        , m_names(names)
        , m_listener(&listener)
        , m_heldByAll(std::move(heldByAll))
    {
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { releaseHeld(); }

    void open(const Address &address)
    {
        error_code error;
        const auto number = asio::ip::make_address(address.number, error);
        if (!error)
            m_socket.open(number.is_v4() ? tcp::v4() : tcp::v6(), error);
        if (error) {
            asio::post(m_socket.get_executor(),
                       [self = shared_from_this()] { self->close(LinkEnd::NotOpened); });
            return;
        }
        m_socket.set_option(tcp::no_delay(true), error);
        limitUnacknowledged(unacknowledgedLimit);
        m_socket.async_connect(
            {number, address.port},
            [self = shared_from_this()](const error_code &failure) { self->onConnected(failure); });
    }

    void send(const gateway::ServerRequest &request)
    {
        m_request = request.request;
        m_isHead = m_request->method == "HEAD";
        ++m_requestsSent;
        m_parser.reset();
        m_skippedReplies = 0;
        m_out = head(request);
        m_out += m_request->body;
        limitUnacknowledged(m_out.size() <= largestSurelyBuffered
                                ? unacknowledgedLimit
                                : std::max(unacknowledgedLimit, request.timeLeft));
        m_isWriting = true;
        asio::async_write(m_socket, asio::buffer(m_out),
                          [self = shared_from_this()](const error_code &error, std::size_t) {
                              self->m_isWriting = false;
                              // Bodies are large, and a connection may be idle for long.
                              self->m_out = {};
                              // A reply may have come before the failure, so the reader goes on.
                              if (error && error != asio::error::operation_aborted)
                                  self->m_isWriteFailed = self->m_isBroken = true;
                          });
    }

    /// The owner is gone.
    void abandon()
    {
        m_listener = nullptr;
        releaseHeld();
        error_code ignored;
        m_socket.close(ignored);
    }

    [[nodiscard]] std::optional<Duration> keepAlive() const { return m_keepAlive; }

private:
    using Parser = http::response_parser<GrowingStringBody>;

    void onConnected(const error_code &error)
    {
        if (!m_listener)
            return;
        if (error) {
            close(LinkEnd::NotOpened);
            return;
        }
        error_code ignored;
        m_socket.non_blocking(true, ignored);
        read();
        m_listener->onOpened();
    }

    void limitUnacknowledged(Duration limit)
    {
        if (std::exchange(m_unacknowledgedLimit, limit) == limit)
            return;
        const auto limitMs =
            static_cast<int>(std::chrono::duration_cast<milliseconds>(limit).count());
        ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limitMs,
                     sizeof limitMs);
    }

    void read()
    {
        // Waiting needs no buffer, so that idle connections hold none.
        m_socket.async_wait(
            asio::socket_base::wait_read,
            [self = shared_from_this()](const error_code &error) { self->onReadable(error); });
    }

    void onReadable(error_code error)
    {
        if (!m_listener)
            return;
        thread_local std::array<char, readSize> buffer;
        std::size_t count = 0;
        if (!error)
            count = m_socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            read();
            return;
        }
        const auto bytes = asio::buffer(buffer.data(), count);
        m_in.commit(asio::buffer_copy(m_in.prepare(count), bytes));
        onRead(error, count);
        if (m_in.size() == 0)
            m_in.shrink_to_fit();
    }

    void onRead(const error_code &error, std::size_t count)
    {
        if (error) {
            onEnd(error);
            return;
        }
        if (!m_request) {
            // Nothing was asked for: an extra reply, which belongs to no request.
            close(LinkEnd::Unusable);
            return;
        }
        if (!hold(count)) {
            close(LinkEnd::Unusable);
            return;
        }
        if (parse() && m_listener)
            read();
    }

    /// Counts the bytes of an unfinished reply. If there is no room for them, the connection that
    /// holds most is given up. False if that is this one.
    bool hold(std::size_t count)
    {
        AsioServerLinks::HeldReplies &all = *m_heldByAll;
        m_held += count;
        all.bytes += count;
        all.connections.insert(this);
        while (all.bytes > all.limit) {
            Connection *const largest = *std::ranges::max_element(
                all.connections, {}, [](const Connection *other) { return other->m_held; });
            if (largest == this)
                return false;
            largest->giveUp();
        }
        return true;
    }

    void releaseHeld()
    {
        m_heldByAll->bytes -= std::exchange(m_held, 0);
        m_heldByAll->connections.erase(this);
    }

    /// Ends the connection. The pending wait for its next bytes fails and tells the listener.
    void giveUp()
    {
        releaseHeld();
        m_parser.reset();
        m_in = {};
        error_code ignored;
        m_socket.close(ignored);
    }

    void onEnd(const error_code &error)
    {
        // The system states once that a connection failed. If the write was told, the reader finds
        // the end of the stream, and what it has need not be the whole reply.
        if (error == asio::error::eof && !m_isWriteFailed && m_request && m_parser
            && m_parser->is_header_done() && m_parser->need_eof()) {
            error_code parseError;
            m_parser->put_eof(parseError);
            if (!parseError && m_parser->is_done()) {
                m_isBroken = true;
                onMessage();
                return;
            }
        }
        const bool isClosedByServer =
            error == asio::error::eof || error == asio::error::connection_reset;
        const bool isReplyBegun = m_parser && m_parser->got_some();
        close(isClosedByServer && !isReplyBegun ? LinkEnd::ClosedByServer : LinkEnd::Unusable);
    }

    /// Takes replies out of what was read. False when the connection is not to be read any more.
    bool parse()
    {
        while (m_request && m_in.size() > 0) {
            if (!m_parser) {
                m_parser.emplace();
                m_parser->eager(true);
                m_parser->header_limit(largestHeader);
                m_parser->body_limit(largestBody);
                m_parser->skip(m_isHead);
            }
            error_code error;
            m_in.consume(m_parser->put(m_in.data(), error));
            const bool isStatusUnknown =
                m_parser->is_header_done()
                && !gateway::isStatus(static_cast<int>(m_parser->get().result_int()));
            if (isStatusUnknown || (error && error != http::error::need_more)) {
                close(LinkEnd::Unusable);
                return false;
            }
            if (error && m_in.size() > largestHeader) {
                close(LinkEnd::Unusable);
                return false;
            }
            if (error || !m_parser->is_done())
                return true;
            if (!onMessage())
                return false;
        }
        return true;
    }

    /// A whole reply is there. False when the connection is not to be read any more.
    bool onMessage()
    {
        http::response<GrowingStringBody> message = m_parser->release();
        m_parser.reset();
        releaseHeld();
        if (static_cast<int>(message.result_int()) < gateway::firstFinalStatus)
            return skipReply();
        const auto echoed = message.find(m_names.requestId);
        const auto owner = gateway::ownerOfReply(
            echoed == message.end() ? std::nullopt : std::optional(viewOf(echoed->value())),
            m_request->id, m_requestsSent == 1);
        if (owner == gateway::ReplyOwner::Unknown) {
            close(LinkEnd::Unusable);
            return false;
        }
        if (owner != gateway::ReplyOwner::Request)
            m_isBroken = true;
        if (owner == gateway::ReplyOwner::Other)
            return skipReply();
        const bool isReusable = message.keep_alive() && !message.need_eof() && m_in.size() == 0
                                && !m_isWriting && !m_isBroken;
        const auto keepAlive = parseKeepAlive(viewOf(message[http::field::keep_alive]));
        if (keepAlive)
            m_keepAlive = keepAlive;
        m_request.reset();
        gateway::ServerLinkListener *const listener = m_listener;
        if (!isReusable)
            abandon();
        listener->onReply(decode(std::move(message)), isReusable);
        return isReusable;
    }

    /// False when too many replies were skipped, and the connection is closed.
    bool skipReply()
    {
        if (++m_skippedReplies <= maximumSkippedReplies)
            return true;
        close(LinkEnd::Unusable);
        return false;
    }

    [[nodiscard]] ServerReply decode(http::response<GrowingStringBody> message) const
    {
        ServerReply reply;
        reply.status = static_cast<int>(message.result_int());
        reply.fields = endToEndFields(message, {});
        reply.body = std::move(message.body());
        reply.receipt = std::string(message[m_names.receipt]);
        reply.isMisdirected = reply.status == gateway::statusMisdirected;
        reply.isNotExecuted = message.find(m_names.notExecuted) != message.end();
        if (reply.status == gateway::statusUnavailable)
            reply.retryAfter = parseDelay(viewOf(message[http::field::retry_after]));
        reply.isLeaving = viewOf(message[m_names.leaving]) == "1";
        reply.rateLimit = parseDecimal(viewOf(message[m_names.rateLimit]));
        reply.load = parseLoad(viewOf(message[m_names.reportedLoad]));
        reply.warmUpLeft = parseMilliseconds(viewOf(message[m_names.warmUpLeft]));
        reply.serverId = ServerId(std::string(message[m_names.serverId]));
        return reply;
    }

    [[nodiscard]] std::string head(const gateway::ServerRequest &request) const
    {
        const gateway::CallerRequest &origin = *request.request;
        std::string text;
        text.reserve(512);
        text.append(origin.method).append(" ").append(origin.target).append(" HTTP/1.1\r\n");
        const auto add = [&text](std::string_view name, std::string_view value) {
            text.append(name).append(": ").append(value).append("\r\n");
        };
        add("Host", origin.host);
        if (!origin.id.isEmpty())
            add(m_names.requestId, origin.id.text());
        add(m_names.callerTimeout,
            std::to_string(std::max<std::int64_t>(1, request.timeLeft.count() / 1000)));
        add(m_names.expectedServer, request.server.text());
        for (const gateway::HttpField &field : origin.fields)
            add(field.name, field.value);
        const bool mayHaveNoBody = origin.method == "GET" || origin.method == "HEAD";
        if (!origin.body.empty() || !mayHaveNoBody)
            add("Content-Length", std::to_string(origin.body.size()));
        text.append("\r\n");
        return text;
    }

    void close(LinkEnd end)
    {
        gateway::ServerLinkListener *const listener = m_listener;
        abandon();
        if (listener)
            listener->onClosed(end);
    }

    tcp::socket m_socket;
    const HeaderNames &m_names;
    gateway::ServerLinkListener *m_listener;
    Duration m_unacknowledgedLimit{};
    bool m_isWriting = false;
    /// The connection failed while a request was written.
    bool m_isWriteFailed = false;
    /// Something was seen after which the connection must not be used again.
    bool m_isBroken = false;
    bool m_isHead = false;
    std::uint64_t m_requestsSent = 0;
    int m_skippedReplies = 0;
    /// Bytes of the unfinished reply, and those of all connections.
    std::size_t m_held = 0;
    std::shared_ptr<AsioServerLinks::HeldReplies> m_heldByAll;
    std::string m_out;
    beast::flat_buffer m_in;
    std::shared_ptr<const gateway::CallerRequest> m_request;
    std::optional<Parser> m_parser;
    std::optional<Duration> m_keepAlive;
};

/// Ends the connection with its owner.
class Link final : public gateway::ServerLink
{
public:
    explicit Link(std::shared_ptr<Connection> connection)
        : m_connection(std::move(connection))
    {
    }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;
    ~Link() override { m_connection->abandon(); }

    void send(const gateway::ServerRequest &request) override { m_connection->send(request); }
    [[nodiscard]] std::optional<Duration> keepAlive() const override
    {
        return m_connection->keepAlive();
    }

private:
    std::shared_ptr<Connection> m_connection;
};

} // namespace

AsioServerLinks::AsioServerLinks(asio::io_context &context, HeaderNames names)
    : m_context(context)
    , m_names(std::move(names))
    , m_held(std::make_shared<HeldReplies>())
{
}

std::size_t AsioServerLinks::heldBytes() const
{
    return m_held->bytes;
}

void AsioServerLinks::setMaximumHeldBytes(std::size_t bytes)
{
    m_held->limit = bytes;
}

std::unique_ptr<gateway::ServerLink> AsioServerLinks::open(const Address &address,
                                                           gateway::ServerLinkListener &listener)
{
    auto connection = std::make_shared<Connection>(m_context, m_names, listener, m_held);
    connection->open(address);
    return std::make_unique<Link>(std::move(connection));
}

} // namespace oleander
