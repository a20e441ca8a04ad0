#pragma once

#include "callers/BeastHeaders.h"
#include "callers/HttpHandler.h"
#include "concurrency/GrowingStringBody.h"

#include <oleander/adapters/callers/HttpLimits.h>

#include <memory>
#include <optional>
#include <string>

namespace oleander {

class HttpSession;

/// What the sessions of one server share.
class HttpSessionOwner
{
public:
    virtual ~HttpSessionOwner() = default;

    virtual HttpHandler &handler() = 0;
    virtual const HttpLimits &limits() const = 0;
    virtual HttpStatistics &statistics() = 0;
    /// Whether responses announce the end of their connection.
    virtual bool isStopping() const = 0;
    /// Takes from what is granted for bodies over all connections.
    virtual bool reserveBody(std::size_t bytes) = 0;
    virtual void releaseBody(std::size_t bytes) = 0;
    virtual void onSessionEnded(HttpSession &session) = 0;
};

/// One connection of an HTTP/1.1 client: reads a request, hands it on, writes the response, and
/// begins again. One request is under way at a time; what a client sends ahead waits.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    /// The owner must outlive the session or close() it.
    HttpSession(boost::asio::ip::tcp::socket socket, HttpSessionOwner &owner);

    void start();
    /// Closes at once. The owner hears nothing more.
    void close();
    /// Closes when there is no request under way. Used at the end of a planned stop's grace.
    void closeIfIdle();
    /// Closes, whatever is under way, and tells the owner.
    void evict();
    /// The next bytes have to come from the client.
    [[nodiscard]] bool isWaiting() const { return m_state != State::Handling; }
    /// When the wait for the present request, or the writing of its response, began.
    [[nodiscard]] TimePoint waitingSince() const { return m_waitingSince; }

private:
    class Exchange;
    enum class State { Idle, Reading, Handling, Writing, Lingering, Closed };
    using Parser = boost::beast::http::request_parser<GrowingStringBody>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    using ErrorCode = boost::beast::error_code;

    // Reading
    void awaitRequest();
    void onFirstBytes(const ErrorCode &error, std::size_t bytes);
    void readHead();
    void onHead(const ErrorCode &error);
    void readBody();
    void onBody(const ErrorCode &error);
    bool reserveBody();
    void sendContinue();
    void onReadError(const ErrorCode &error);
    void refuse(ErrorKind kind, const std::string &text);

    // Handling
    void watchForEnd();
    void onReadable();
    void onGone();
    void respond(HttpResponse response);

    // Writing
    void write(HttpResponse response, bool isKept);
    void onWritten(const ErrorCode &error);
    void linger();
    void dropRest();
    void readAndDrop();
    void end();
    void releaseBody();

    boost::beast::tcp_stream m_stream;
    HttpSessionOwner *m_owner;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::optional<Response> m_response;
    std::shared_ptr<Exchange> m_exchange;
    State m_state = State::Idle;
    TimePoint m_waitingSince{};
    bool m_isKept = false;
    unsigned m_httpVersion = 11;
    std::size_t m_reservedBytes = 0;
    std::size_t m_droppedBytes = 0;
};

} // namespace oleander
