#pragma once

#include "callers/HttpSession.h"
#include "concurrency/Listening.h"

#include <oleander/adapters/resources/ProcessMemory.h>

#include <functional>
#include <unordered_map>

namespace oleander {

/// A listening socket and the sessions it accepted, on one thread. The callers' and the operators'
/// server are both made of it.
class HttpServer : private HttpSessionOwner
{
public:
    /// The context and the handler must outlive the server.
    /// Bodies are charged to `memory`, if there is one, beside the server's own limits.
    HttpServer(boost::asio::io_context &context, HttpHandler &handler, HttpLimits limits,
               std::shared_ptr<ProcessMemory> memory = nullptr);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    /// Closes everything at once.
    ~HttpServer() override;

    /// Begins to accept. Returns the port.
    std::optional<std::uint16_t> listen(const std::string &address, Reason &reason);
    /// Accepts nothing more; connections end with their present request. `whenEnded` is called
    /// once, when no connection is left, never inside beginStop().
    void beginStop(std::function<void()> whenEnded);

    const HttpStatistics &statistics() const { return m_statistics; }

private:
    void accept();
    void onAccepted(const boost::system::error_code &error, boost::asio::ip::tcp::socket socket);
    void acceptLater();
    void takeOn(boost::asio::ip::tcp::socket socket);
    bool closeLongestWaiting();
    void refuseConnection(boost::asio::ip::tcp::socket socket);
    void acceptWaiting();
    void closeIdleSessions();
    void reportEnd();

    // HttpSessionOwner
    HttpHandler &handler() override { return m_handler; }
    const HttpLimits &limits() const override { return m_limits; }
    HttpStatistics &statistics() override { return m_statistics; }
    bool isStopping() const override { return m_isStopping; }
    bool reserveBody(std::size_t bytes) override;
    void releaseBody(std::size_t bytes) override;
    void onSessionEnded(HttpSession &session) override;

    boost::asio::io_context &m_context;
    HttpHandler &m_handler;
    HttpLimits m_limits;
    HttpStatistics m_statistics;
    std::optional<boost::asio::ip::tcp::acceptor> m_acceptor;
    boost::asio::steady_timer m_timer;
    std::unordered_map<HttpSession *, std::shared_ptr<HttpSession>> m_sessions;
    std::size_t m_bodyBytes = 0;
    std::shared_ptr<ProcessMemory> m_memory;
    MemoryCharge m_charge;
    bool m_isStopping = false;
    std::function<void()> m_whenEnded;
    /// Expires with the server; guards handlers that Asio still holds.
    std::shared_ptr<char> m_life = std::make_shared<char>();
};

} // namespace oleander
