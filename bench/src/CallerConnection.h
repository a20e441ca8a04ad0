#pragma once

#include "Asio.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oleander::bench {

/// How one exchange with a daemon ended.
struct CallerReply
{
    enum class End {
        Replied,
        /// Nothing was sent, so that another target may be tried.
        NotSent,
        /// Sent, and no valid reply came.
        Lost,
    };

    End end = End::Lost;
    std::string body;
};

/// A caller's keep-alive connection to one daemon, one query at a time.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    using Done = std::function<void(CallerReply)>;

    CallerConnection(asio::io_context &context, asio::ip::tcp::endpoint target);

    /// Posts a body to /v1/query, connecting first when needed. Done is called once, never inside.
    void ask(const std::string &body, Done done);
    /// Whether another query may be sent.
    [[nodiscard]] bool isUsable() const { return m_isOpen; }

private:
    using Error = boost::system::error_code;

    void write();
    void read();
    void onRead(const Error &error);
    void finish(CallerReply::End end);

    asio::ip::tcp::socket m_socket;
    asio::ip::tcp::endpoint m_target;
    std::string m_output;
    beast::flat_buffer m_input;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Done m_done;
    bool m_isOpen = false;
};

} // namespace oleander::bench
