#include "ServerConnection.h"

#include "Endpoint.h"

#include <charconv>

namespace oleander {

namespace {

constexpr std::size_t readBytes = 8192;
/// Bytes that were read and are no whole piece of a reply yet, such as a line. Bodies do not count.
constexpr std::size_t maximumUnparsedBytes = std::size_t{64} * 1024;
constexpr int httpOk = 200;

void appendNumber(std::string &out, std::size_t number)
{
    std::array<char, 20> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    out.append(digits.data(), result.ptr);
}

} // namespace

ServerConnection::ServerConnection(asio::io_context &context, ConnectionId id,
                                   ServerNetworkListener &listener,
                                   const ServerNetworkLimits &limits, Owner owner)
    : m_socket(context)
    , m_timeout(context)
    , m_id(id)
    , m_listener(listener)
    , m_limits(limits)
    , m_owner(owner)
{
}

void ServerConnection::open(const std::string &address)
{
    Reason reason;
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint) {
        endLater(ConnectionEnd::NotOpened);
        return;
    }
    m_host = address;
    startTimeout();
    m_socket.async_connect(
        *endpoint, [self = shared_from_this()](const Error &error) { self->onConnected(error); });
}

void ServerConnection::startTimeout()
{
    m_timeout.expires_after(m_limits.connectTimeout);
    m_timeout.async_wait([self = shared_from_this()](const Error &error) {
        if (!error && !self->m_isOpen)
            self->end(ConnectionEnd::NotOpened);
    });
}

void ServerConnection::onConnected(const Error &error)
{
    if (m_isEnded)
        return;
    m_timeout.cancel();
    if (error) {
        end(ConnectionEnd::NotOpened);
        return;
    }
    Error ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_isOpen = true;
    read();
    m_listener.onConnectionOpened(m_id);
}

void ServerConnection::send(const SubRequest &request)
{
    beginRequest(request.id);
    encodeSubRequest(m_owner.client, request, m_requestBody);
    write(shardPath);
}

void ServerConnection::cancel(SubRequestId request)
{
    beginRequest(request);
    encodeCancel(m_owner.client, request, m_requestBody);
    write(cancelPath);
}

void ServerConnection::beginRequest(SubRequestId request)
{
    m_inFlight = request;
    m_isBusy = true;
    m_requestBody.clear();
    m_parser.emplace(m_replyBody, m_limits.maximumReplyBytes);
}

void ServerConnection::write(std::string_view path)
{
    m_output.clear();
    m_output.append("POST ").append(path).append(" HTTP/1.1\r\nHost: ").append(m_host);
    m_output.append("\r\nContent-Type: ").append(messagePackType).append("\r\nContent-Length: ");
    appendNumber(m_output, m_requestBody.size());
    m_output.append("\r\n\r\n").append(m_requestBody);

    // The socket's buffer is empty between requests, so this nearly always takes everything and
    // saves a completion handler.
    Error error;
    const auto written = m_socket.write_some(asio::buffer(m_output), error);
    if (error && error != asio::error::would_block) {
        endLater(ConnectionEnd::Lost);
        return;
    }
    if (written < m_output.size())
        writeRest(written);
}

void ServerConnection::writeRest(std::size_t written)
{
    auto rest = asio::buffer(m_output) + written;
    asio::async_write(m_socket, rest, [self = shared_from_this()](const Error &error, std::size_t) {
        if (error)
            self->end(ConnectionEnd::Lost);
    });
}

void ServerConnection::read()
{
    m_socket.async_read_some(m_input.prepare(readBytes),
                             [self = shared_from_this()](const Error &error, std::size_t bytes) {
                                 self->onRead(error, bytes);
                             });
}

void ServerConnection::onRead(const Error &error, std::size_t bytes)
{
    if (m_isEnded)
        return;
    if (error) {
        end(ConnectionEnd::Lost);
        return;
    }
    m_input.commit(bytes);
    if (!m_isBusy) {
        end(ConnectionEnd::ProtocolError);
        return;
    }
    parseInput();
}

void ServerConnection::parseInput()
{
    Error error;
    m_input.consume(m_parser->put(m_input.data(), error));
    if (error && error != http::error::need_more) {
        end(ConnectionEnd::ProtocolError);
        return;
    }
    if (!m_parser->is_done() && m_input.size() > maximumUnparsedBytes) {
        end(ConnectionEnd::ProtocolError);
        return;
    }
    if (!m_parser->is_done()) {
        read();
        return;
    }
    deliver();
}

void ServerConnection::deliver()
{
    Reason reason;
    const bool isWhole = m_parser->status() == httpOk && m_input.size() == 0;
    const auto reply = isWhole ? decodeSubReply(m_replyBody, reason) : std::nullopt;
    if (!reply || reply->id != m_inFlight) {
        end(ConnectionEnd::ProtocolError);
        return;
    }
    const auto self = shared_from_this();
    const bool isKept = m_parser->keep_alive();
    m_isBusy = false;
    if (isKept)
        read();
    else
        endLater(ConnectionEnd::Lost);
    m_listener.onReply(m_id, *reply);
}

void ServerConnection::close()
{
    m_isEnded = true;
    m_timeout.cancel();
    Error ignored;
    m_socket.close(ignored);
}

void ServerConnection::endLater(ConnectionEnd end)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), end]() { self->end(end); });
}

void ServerConnection::end(ConnectionEnd end)
{
    if (m_isEnded)
        return;
    close();
    m_owner.forget(m_owner.owner, m_id);
    m_listener.onConnectionEnded(m_id, end);
}

} // namespace oleander
