#include "support/EndlessServer.h"

#include <oleander/adapters/gateway/HttpGetter.h>
#include <oleander/adapters/time/AsioTimerService.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace oleander;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;
namespace asio = boost::asio;

namespace {

constexpr std::size_t largestBody = std::size_t{64} * 1024;

/// Answers the first request on each of its connections with the bytes.
class OneAnswerServer
{
public:
    OneAnswerServer(asio::io_context &context, std::string bytes)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_bytes(std::move(bytes))
    {
        accept();
    }
    [[nodiscard]] Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    [[nodiscard]] int connections() const { return m_connections; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
            if (error)
                return;
            ++m_connections;
            const auto held = std::make_shared<tcp::socket>(std::move(socket));
            held->async_read_some(asio::buffer(m_in), [this, held](const error_code &, auto) {
                asio::async_write(*held, asio::buffer(m_bytes),
                                  [held](const error_code &, std::size_t) {});
            });
            accept();
        });
    }

    tcp::acceptor m_acceptor;
    std::array<char, 4096> m_in{};
    std::string m_bytes;
    int m_connections = 0;
};

std::string chunked(std::size_t bytes)
{
    std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t chunk = 4096;
    for (std::size_t sent = 0; sent < bytes; sent += chunk)
        text += "1000\r\n" + std::string(chunk, 'x') + "\r\n";
    return text + "0\r\n\r\n";
}

struct HttpGetterTest : ::testing::Test
{
    /// What the getter makes of these bytes of a server; nothing if it takes too long.
    std::optional<HttpGetAnswer> answerTo(const std::string &bytes)
    {
        asio::io_context context;
        AsioTimerService timer(context);
        OneAnswerServer server(context, bytes);
        HttpGetter getter(context, timer, server.address(), largestBody);
        std::optional<HttpGetAnswer> answer;
        getter.get("/x", seconds(5),
                   [&](std::optional<HttpGetAnswer> given) { answer = std::move(given); });
        while (!answer && context.run_one_for(std::chrono::seconds(5)) > 0) {
        }
        connections = server.connections();
        return answer;
    }

    /// Connections that the last answer took.
    int connections = 0;
};

// Guards against an answer beyond the limit that looks like an unreachable registry.
TEST_F(HttpGetterTest, AnswerBeyondTheLimitIsReportedAsSuch)
{
    const std::string withLength =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2 * largestBody) + "\r\n\r\n"
        + std::string(2 * largestBody, 'x');
    for (const std::string &bytes : {chunked(2 * largestBody), withLength}) {
        const auto answer = answerTo(bytes);
        ASSERT_TRUE(answer);
        EXPECT_TRUE(answer->isTooLarge);
        EXPECT_TRUE(answer->body.empty());
        EXPECT_EQ(connections, 1) << "it is not asked for again";
    }
}

TEST_F(HttpGetterTest, AnswerWithinTheLimitIsWhole)
{
    const auto answer = answerTo(chunked(largestBody));
    ASSERT_TRUE(answer);
    EXPECT_FALSE(answer->isTooLarge);
    EXPECT_EQ(answer->body.size(), largestBody);
}

// Guards against reading on in an answer without end, all of which would be kept in memory.
TEST(HttpGetterLimits, AnswersWithoutEndAreCutAfterABoundedNumberOfBytes)
{
    // Includes what the system's buffers take.
    constexpr std::size_t mostSent = std::size_t{16} * 1024 * 1024;
    for (const auto &bytes : oleander::testing::endlessBytes()) {
        asio::io_context context;
        AsioTimerService timer(context);
        oleander::testing::EndlessServer server(context, bytes.opening, bytes.repeated);
        HttpGetter getter(context, timer, server.address(), largestBody);
        bool isDone = false;
        getter.get("/x", seconds(5), [&](const auto &) { isDone = true; });
        while (!isDone && server.sentBytes() <= mostSent)
            context.run_one_for(std::chrono::milliseconds(100));
        EXPECT_TRUE(isDone) << bytes.name;
    }
}

} // namespace
