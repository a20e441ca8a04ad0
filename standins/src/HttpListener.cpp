#include "HttpConnection.h"
#include "ListenAddress.h"

#include <oleander/standins/HttpListener.h>

namespace oleander::standins {

struct HttpListener::State : HttpListenerState, std::enable_shared_from_this<State>
{
    State(asio::io_context &io, HttpListenerLimits bounds, HttpHandler handle)
        : HttpListenerState{io, bounds, std::move(handle), {}, {}, false, {}}
        , acceptor(io)
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](const boost::system::error_code &error,
                                                          asio::ip::tcp::socket socket) {
            if (error || !self->acceptor.is_open())
                return;
            self->admit(std::move(socket));
            self->accept();
        });
    }

    void admit(asio::ip::tcp::socket socket)
    {
        ++counts.accepted;
        if (limits.connectionCap > 0 && counts.open >= limits.connectionCap) {
            ++counts.refusedAtCap;
            return;
        }
        ++counts.open;
        counts.peak = std::max(counts.peak, counts.open);
        auto connection = std::make_shared<HttpConnection>(std::move(socket), weak_from_this());
        connections.insert(connection);
        connection->start();
    }

    void closeAll()
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        for (const auto &connection : connections)
            connection->close();
        connections.clear();
        held.clear();
        counts.open = 0;
    }

    asio::ip::tcp::acceptor acceptor;
};

HttpListener::HttpListener(boost::asio::io_context &context, HttpListenerLimits limits,
                           HttpHandler handler)
    : m_state(std::make_shared<State>(context, limits, std::move(handler)))
{
}

HttpListener::~HttpListener()
{
    m_state->closeAll();
}

std::optional<std::uint16_t> HttpListener::listen(const std::string &address, Reason &reason)
{
    const auto endpoint = parseListenAddress(address, reason);
    if (!endpoint)
        return std::nullopt;
    boost::system::error_code error;
    auto &acceptor = m_state->acceptor;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        reason.set(ErrorKind::Internal, "listen on '" + address + "': " + error.message());
        return std::nullopt;
    }
    m_state->accept();
    return acceptor.local_endpoint().port();
}

void HttpListener::stop()
{
    m_state->closeAll();
}

void HttpListener::silenceOpenConnections()
{
    for (const auto &connection : m_state->connections)
        connection->silence();
}

void HttpListener::freeze()
{
    m_state->isFrozen = true;
}

void HttpListener::thaw()
{
    m_state->isFrozen = false;
    const auto held = std::exchange(m_state->held, {});
    for (const auto &step : held)
        step();
}

HttpListenerCounts HttpListener::counts() const
{
    return m_state->counts;
}

} // namespace oleander::standins
