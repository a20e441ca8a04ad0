#include "CallerConnection.h"

namespace oleander::bench {

namespace {
/// Beast reads as much as the buffer has room for.
constexpr std::size_t readBytes = 65536;
constexpr std::uint64_t maximumAnswerBytes = std::uint64_t{64} * 1024 * 1024;
} // namespace

CallerConnection::CallerConnection(asio::io_context &context, asio::ip::tcp::endpoint target)
    : m_socket(context)
    , m_target(std::move(target))
{
    m_input.reserve(readBytes);
}

void CallerConnection::ask(const std::string &body, Done done)
{
    m_done = std::move(done);
    m_output = "POST /v1/query HTTP/1.1\r\nHost: daemon\r\nContent-Type: application/json\r\n"
               "Content-Length: "
               + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (m_isOpen) {
        write();
        return;
    }
    m_socket.async_connect(m_target, [self = shared_from_this()](const Error &error) {
        if (error) {
            self->finish(CallerReply::End::NotSent);
            return;
        }
        Error ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_isOpen = true;
        self->write();
    });
}

void CallerConnection::write()
{
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this()](const Error &error, std::size_t) {
                          if (error)
                              self->finish(CallerReply::End::Lost);
                          else
                              self->read();
                      });
}

void CallerConnection::read()
{
    m_parser.emplace();
    m_parser->body_limit(maximumAnswerBytes);
    http::async_read(
        m_socket, m_input, *m_parser,
        [self = shared_from_this()](const Error &error, std::size_t) { self->onRead(error); });
}

void CallerConnection::onRead(const Error &error)
{
    finish(error ? CallerReply::End::Lost : CallerReply::End::Replied);
}

void CallerConnection::finish(CallerReply::End end)
{
    CallerReply reply;
    reply.end = end;
    const bool isReplied = end == CallerReply::End::Replied;
    if (isReplied)
        reply.body = std::move(m_parser->get().body());
    m_isOpen = isReplied && m_parser->keep_alive();
    if (!m_isOpen) {
        Error ignored;
        m_socket.close(ignored);
    }
    const auto done = std::exchange(m_done, nullptr);
    done(std::move(reply));
}

} // namespace oleander::bench
