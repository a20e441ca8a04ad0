#pragma once

#include "Asio.h"

#include <oleander/standins/HttpListener.h>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace oleander::standins {

class HttpConnection;

/// What the connections of one listener share.
struct HttpListenerState
{
    asio::io_context &context;
    HttpListenerLimits limits;
    HttpHandler handler;
    HttpListenerCounts counts;
    std::set<std::shared_ptr<HttpConnection>> connections;
    bool isFrozen = false;
    /// What waits for thaw().
    std::vector<std::function<void()>> held;

    /// Runs the step now, or at thaw().
    void runWhenThawed(std::function<void()> step);
};

/// One accepted connection of a stand-in: one request after the other.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(asio::ip::tcp::socket socket, std::weak_ptr<HttpListenerState> listener);

    void start();
    void silence() { m_isSilent = true; }
    void close();

private:
    using Error = boost::system::error_code;

    void read();
    void onRead(const Error &error);
    void handle();
    void respond(const HttpResponse &response);
    void write();
    void end();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::weak_ptr<HttpListenerState> m_listener;
    beast::flat_buffer m_input;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::string m_output;
    bool m_isSilent = false;
    bool m_isKept = true;
};

} // namespace oleander::standins
