#pragma once

#include "concurrency/AsioHeaders.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>

#include <string>
#include <sys/socket.h>
#include <sys/time.h>

namespace oleander {

/// A blocking TCP client that sends any bytes. Reads end with an error after ten seconds, so that a
/// silent server fails a test instead of hanging it.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port)
    {
        const auto loopback = boost::asio::ip::make_address("127.0.0.1");
        m_socket.connect({loopback, port});
        const timeval limit{10, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// Everything until the server closes.
    std::string readAll()
    {
        while (readSome()) {
        }
        return m_received;
    }

    /// The response that comes next, by its Content-Length.
    std::string readResponse()
    {
        while (m_received.find("\r\n\r\n") == std::string::npos && readSome()) {
        }
        const std::size_t head = m_received.find("\r\n\r\n");
        const std::size_t mark = m_received.find("Content-Length: ");
        if (head == std::string::npos || mark == std::string::npos)
            return std::exchange(m_received, {});
        const std::size_t size = head + 4 + std::stoul(m_received.substr(mark + 16));
        while (m_received.size() < size && readSome()) {
        }
        std::string response = m_received.substr(0, size);
        m_received.erase(0, size);
        return response;
    }

    void close() { m_socket.close(); }

private:
    bool readSome()
    {
        char bytes[4096];
        const auto count = ::recv(m_socket.native_handle(), bytes, sizeof bytes, 0);
        if (count > 0)
            m_received.append(bytes, static_cast<std::size_t>(count));
        return count > 0;
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket{m_context};
    std::string m_received;
};

} // namespace oleander
