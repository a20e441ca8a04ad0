#include "HttpConnection.h"

namespace oleander::standins {

namespace {
/// Beast reads as much as the buffer has room for.
constexpr std::size_t readBytes = 8192;
} // namespace

void HttpListenerState::runWhenThawed(std::function<void()> step)
{
    if (isFrozen)
        held.push_back(std::move(step));
    else
        step();
}

HttpConnection::HttpConnection(asio::ip::tcp::socket socket,
                               std::weak_ptr<HttpListenerState> listener)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_listener(std::move(listener))
{
}

void HttpConnection::start()
{
    const auto listener = m_listener.lock();
    if (!listener)
        return;
    Error ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_input.reserve(readBytes);
    if (listener->limits.connectionCost <= Duration{}) {
        read();
        return;
    }
    m_timer.expires_after(listener->limits.connectionCost);
    m_timer.async_wait([self = shared_from_this()](const Error &error) {
        if (!error)
            self->read();
    });
}

void HttpConnection::close()
{
    Error ignored;
    m_timer.cancel();
    m_socket.close(ignored);
}

void HttpConnection::read()
{
    const auto listener = m_listener.lock();
    if (!listener)
        return;
    m_parser.emplace();
    m_parser->body_limit(listener->limits.maximumBodyBytes);
    http::async_read(
        m_socket, m_input, *m_parser,
        [self = shared_from_this()](const Error &error, std::size_t) { self->onRead(error); });
}

void HttpConnection::onRead(const Error &error)
{
    if (error) {
        if (!m_isSilent)
            end();
        return;
    }
    const auto listener = m_listener.lock();
    if (!listener || m_isSilent)
        return;
    listener->runWhenThawed([self = shared_from_this()]() { self->handle(); });
}

void HttpConnection::handle()
{
    const auto listener = m_listener.lock();
    if (!listener || m_isSilent || !m_socket.is_open())
        return;
    auto message = m_parser->release();
    m_isKept = message.keep_alive();
    HttpRequest request;
    request.method.assign(message.method_string().data(), message.method_string().size());
    request.target.assign(message.target().data(), message.target().size());
    request.body = std::move(message.body());
    auto respondLater = [self = shared_from_this()](HttpResponse response) {
        const auto current = self->m_listener.lock();
        if (!current)
            return;
        if (!current->isFrozen) {
            self->respond(response);
            return;
        }
        current->runWhenThawed(
            [self, response = std::move(response)]() { self->respond(response); });
    };
    listener->handler(std::move(request), std::move(respondLater));
}

void HttpConnection::respond(const HttpResponse &response)
{
    if (m_isSilent || !m_socket.is_open())
        return;
    m_output.assign("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    const auto phrase =
        http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.status)));
    m_output.append(phrase.data(), phrase.size());
    m_output.append("\r\nContent-Type: ").append(response.contentType);
    if (!response.version.empty())
        m_output.append("\r\nX-Version: ").append(response.version);
    if (!m_isKept)
        m_output.append("\r\nConnection: close");
    m_output.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
    m_output.append("\r\n\r\n").append(response.body);
    write();
}

void HttpConnection::write()
{
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this()](const Error &error, std::size_t) {
                          if (self->m_isSilent)
                              return;
                          if (error || !self->m_isKept)
                              self->end();
                          else
                              self->read();
                      });
}

void HttpConnection::end()
{
    close();
    const auto listener = m_listener.lock();
    if (listener && listener->connections.erase(shared_from_this()) != 0)
        --listener->counts.open;
}

} // namespace oleander::standins
