#pragma once

#include <oleander/core/Reason.h>
#include <oleander/core/Units.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace oleander::standins {

/// One request as received.
struct HttpRequest
{
    std::string method;
    /// Path with query string.
    std::string target;
    std::string body;
};

/// One reply to send.
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    /// Value of the header X-Version; absent when empty.
    std::string version;
};

using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpListenerLimits
{
    std::size_t maximumBodyBytes = std::size_t{16} * 1024 * 1024;
    /// Connections beyond this are closed as soon as they are accepted; zero means no cap.
    int connectionCap = 0;
    /// Time before the first request on a new connection is read.
    Duration connectionCost{};
};

struct HttpListenerCounts
{
    int open = 0;
    int peak = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refusedAtCap = 0;
};

/// A small HTTP/1.1 server with faults that tests switch, for the stand-ins only.
///
/// Belongs to the thread that runs the context. The handler is called once for each request and
/// may answer at any later time; the responder does nothing when the connection is gone.
class HttpListener
{
public:
    HttpListener(boost::asio::io_context &context, HttpListenerLimits limits, HttpHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Listens on "ip:port" and returns the port, chosen by the system when zero was given.
    std::optional<std::uint16_t> listen(const std::string &address, Reason &reason);
    /// Closes all connections and refuses new ones until listen() is called again.
    void stop();
    /// The connections of this moment are never answered again, and never closed.
    void silenceOpenConnections();
    /// While frozen nothing is handled and nothing answered; all of it happens at thaw().
    void freeze();
    void thaw();

    [[nodiscard]] HttpListenerCounts counts() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleander::standins
