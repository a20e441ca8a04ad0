#include "callers/HttpServer.h"

namespace oleander {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Wait before the next attempt when the process has no free descriptor.
constexpr Duration acceptPause = milliseconds(100);

std::string asText(const HttpResponse &response)
{
    return "HTTP/1.1 " + std::to_string(response.status)
           + " Refused\r\nConnection: close\r\nContent-Type: " + response.contentType
           + "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n"
           + response.body;
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, HttpHandler &handler, HttpLimits limits,
                       std::shared_ptr<ProcessMemory> memory)
    : m_context(context)
    , m_handler(handler)
    , m_limits(limits)
    , m_timer(context)
    , m_memory(std::move(memory))
    , m_charge(m_memory, MemoryHolder::Pages)
{
}

HttpServer::~HttpServer()
{
    m_whenEnded = nullptr;
    const auto sessions = std::move(m_sessions);
    for (const auto &[key, session] : sessions)
        session->close();
}

std::optional<std::uint16_t> HttpServer::listen(const std::string &address, Reason &reason)
{
    ListenOptions options;
    options.receiveBufferBytes = m_limits.receiveBufferBytes;
    m_acceptor = listenOn(m_context, address, reason, options);
    if (!m_acceptor)
        return std::nullopt;
    accept();
    return m_acceptor->local_endpoint().port();
}

void HttpServer::beginStop(std::function<void()> whenEnded)
{
    m_isStopping = true;
    m_whenEnded = std::move(whenEnded);
    if (m_acceptor) {
        acceptWaiting();
        m_acceptor.reset();
    }
    m_timer.expires_after(m_sessions.empty() ? Duration::zero() : m_limits.stopGrace);
    m_timer.async_wait([this, life = std::weak_ptr<char>(m_life)](const error_code &error) {
        if (error || life.expired())
            return;
        closeIdleSessions();
        reportEnd();
    });
}

void HttpServer::accept()
{
    m_acceptor->async_accept(
        [this, life = std::weak_ptr<char>(m_life)](const error_code &error, tcp::socket socket) {
            if (!life.expired() && m_acceptor)
                onAccepted(error, std::move(socket));
        });
}

void HttpServer::onAccepted(const error_code &error, tcp::socket socket)
{
    if (error) {
        acceptLater();
        return;
    }
    takeOn(std::move(socket));
    accept();
}

void HttpServer::acceptLater()
{
    m_timer.expires_after(acceptPause);
    m_timer.async_wait([this, life = std::weak_ptr<char>(m_life)](const error_code &error) {
        if (!error && !life.expired() && m_acceptor)
            accept();
    });
}

void HttpServer::takeOn(tcp::socket socket)
{
    const bool isFull = m_sessions.size() >= m_limits.maximumConnections;
    if (isFull && !(m_limits.isLongestWaitingClosed && closeLongestWaiting())) {
        refuseConnection(std::move(socket));
        return;
    }
    HttpSessionOwner &owner = *this;
    const auto session = std::make_shared<HttpSession>(std::move(socket), owner);
    m_sessions.emplace(session.get(), session);
    m_statistics.connections = m_sessions.size();
    session->start();
}

bool HttpServer::closeLongestWaiting()
{
    std::shared_ptr<HttpSession> longest;
    for (const auto &[key, session] : m_sessions) {
        if (session->isWaiting() && (!longest || session->waitingSince() < longest->waitingSince()))
            longest = session;
    }
    if (!longest)
        return false;
    ++m_statistics.evictedConnections;
    longest->evict();
    return true;
}

void HttpServer::refuseConnection(tcp::socket socket)
{
    ++m_statistics.refusedConnections;
    const std::string text =
        asText(m_handler.errorResponse(ErrorKind::Overloaded, "too many connections"));
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(text), ignored);
    socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void HttpServer::acceptWaiting()
{
    // Connections that the system already completed would be reset with the listening socket.
    error_code error;
    m_acceptor->non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_context);
        m_acceptor->accept(socket, error);
        if (!error)
            takeOn(std::move(socket));
    }
}

void HttpServer::closeIdleSessions()
{
    const auto sessions = m_sessions;
    for (const auto &[key, session] : sessions)
        session->closeIfIdle();
}

bool HttpServer::reserveBody(std::size_t bytes)
{
    if (bytes > m_limits.maximumBodyBytesInAll
        || m_bodyBytes > m_limits.maximumBodyBytesInAll - bytes)
        return false;
    if (m_memory && !m_memory->makeRoom(MemoryHolder::Pages, bytes)) {
        m_memory->countRefusal();
        return false;
    }
    m_bodyBytes += bytes;
    m_charge.set(m_bodyBytes);
    return true;
}

void HttpServer::releaseBody(std::size_t bytes)
{
    m_bodyBytes -= bytes;
    m_charge.set(m_bodyBytes);
}

void HttpServer::onSessionEnded(HttpSession &session)
{
    m_sessions.erase(&session);
    m_statistics.connections = m_sessions.size();
    if (m_isStopping)
        reportEnd();
}

void HttpServer::reportEnd()
{
    if (!m_sessions.empty() || !m_whenEnded)
        return;
    asio::post(m_context, std::exchange(m_whenEnded, nullptr));
}

} // namespace oleander
