#pragma once

#include <oleander/settings/Address.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace oleander::testing {

/// Sends `opening`, then `repeated` until the connection is closed.
class EndlessServer
{
public:
    EndlessServer(boost::asio::io_context &context, std::string opening,
                  const std::string &repeated)
        : m_acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_opening(std::move(opening))
    {
        // One write holds many repetitions, so that the server is faster than the reader.
        while (m_repeated.size() < std::size_t{64} * 1024)
            m_repeated += repeated;
        accept();
    }

    [[nodiscard]] Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    [[nodiscard]] bool isAnyOpen() const { return m_open > 0; }
    /// Bytes that were taken over by the system or the other side.
    [[nodiscard]] std::size_t sentBytes() const { return m_sent; }

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
                if (error)
                    return;
                ++m_open;
                const auto held = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
                awaitRequest(held);
                accept();
            });
    }
    void awaitRequest(const Socket &socket)
    {
        socket->async_read_some(
            boost::asio::buffer(m_in),
            [this, socket](const boost::system::error_code &error, std::size_t) {
                if (error)
                    --m_open;
                else
                    write(socket, m_opening);
            });
    }
    void write(const Socket &socket, const std::string &bytes)
    {
        boost::asio::async_write(
            *socket, boost::asio::buffer(bytes),
            [this, socket](const boost::system::error_code &error, std::size_t count) {
                m_sent += count;
                if (error)
                    --m_open;
                else
                    write(socket, m_repeated);
            });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::array<char, 4096> m_in{};
    std::string m_opening;
    std::string m_repeated;
    int m_open = 0;
    std::size_t m_sent = 0;
};

/// A reply without end: one `opening`, then `repeated` again and again.
struct EndlessBytes
{
    const char *name;
    std::string opening;
    std::string repeated;
};

inline std::vector<EndlessBytes> endlessBytes()
{
    const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
    return {
        {"StatusLine", "HTTP/1.1 200 ", "x"},
        {"HeaderLine", ok + "X: ", "x"},
        {"HeaderFields", ok, "X: x\r\n"},
        {"InterimReplies", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"RepliesToOtherRequests", "",
         "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx"},
        {"BodyWithoutLength", ok + "Receipt: a\r\n\r\n", "x"},
        {"LongBody", ok + "Content-Length: 1000000000000\r\n\r\n", "x"},
        {"Chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
        {"LongChunk", ok + "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFF\r\n", "x"},
        {"ChunkExtension", ok + "Transfer-Encoding: chunked\r\n\r\n1;a=", "x"},
        {"Trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
        {"NoHttpAtAll", "", std::string("\0\1\2", 3)},
    };
}

} // namespace oleander::testing
