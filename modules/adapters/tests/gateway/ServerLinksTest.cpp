#include "support/EndlessServer.h"

#include <oleander/adapters/gateway/AsioServerLinks.h>
#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/gateway/HealthProbe.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace oleander;
using boost::system::error_code;
using oleander::testing::EndlessBytes;
using oleander::testing::endlessBytes;
using oleander::testing::EndlessServer;
using tcp = boost::asio::ip::tcp;
namespace asio = boost::asio;

// A server in trouble may send bytes that are no reply without end. The connection must be closed
// after a bounded number of bytes, whatever they are part of.

namespace {

HeaderNames headerNames()
{
    HeaderNames names;
    names.requestId = "Request-Id";
    names.receipt = "Receipt";
    names.notExecuted = "Not-Run";
    names.reportedLoad = "Load";
    names.warmUpLeft = "Cold";
    names.serverId = "Server-Id";
    return names;
}

/// Sends one request as soon as the connection is open.
class Requester final : public gateway::ServerLinkListener
{
public:
    Requester(AsioServerLinks &links, const Address &address, std::size_t bodyBytes = 0)
        : m_bodyBytes(bodyBytes)
        , m_link(links.open(address, *this))
    {
    }

    void onOpened() override
    {
        auto request = std::make_shared<gateway::CallerRequest>();
        request->id = RequestId("r1");
        request->method = "GET";
        request->target = "/x";
        request->host = "host.example";
        request->body.assign(m_bodyBytes, 'x');
        m_link->send({std::move(request), ServerId("i-1"), seconds(15)});
    }
    void onReply(gateway::ServerReply given, bool) override { reply = std::move(given); }
    void onClosed(gateway::LinkEnd) override { isClosed = true; }

    std::optional<gateway::ServerReply> reply;
    bool isClosed = false;

private:
    std::size_t m_bodyBytes;
    std::unique_ptr<gateway::ServerLink> m_link;
};

class EndlessBytesTest : public ::testing::TestWithParam<EndlessBytes>
{
};

TEST_P(EndlessBytesTest, ConnectionIsClosedAfterABoundedNumberOfBytes)
{
    asio::io_context context;
    EndlessServer server(context, GetParam().opening, GetParam().repeated);
    AsioServerLinks links(context, headerNames());
    Requester requester(links, server.address());
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!requester.isClosed && std::chrono::steady_clock::now() < until) {
        context.run_one_for(std::chrono::milliseconds(100));
        ASSERT_LE(links.heldBytes(), AsioServerLinks::maximumHeldBytes);
    }
    EXPECT_TRUE(requester.isClosed);
    EXPECT_FALSE(requester.reply);
    EXPECT_EQ(links.heldBytes(), 0U);
    context.run_for(std::chrono::milliseconds(200));
    EXPECT_FALSE(server.isAnyOpen());
}

INSTANTIATE_TEST_SUITE_P(AllPatterns, EndlessBytesTest, ::testing::ValuesIn(endlessBytes()),
                         [](const auto &testCase) { return std::string(testCase.param.name); });

TEST(ServerLinks, ManyEndlessServersTogetherHoldABoundedNumberOfBytes)
{
    asio::io_context context;
    EndlessServer server(
        context, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 8000000\r\n\r\n", "x");
    AsioServerLinks links(context, headerNames());
    std::vector<std::unique_ptr<Requester>> requesters;
    constexpr std::size_t servers = 60;
    requesters.reserve(servers);
    for (std::size_t count = 0; count < servers; ++count)
        requesters.push_back(std::make_unique<Requester>(links, server.address()));
    std::size_t most = 0;
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    const auto isDone = [](const auto &requester) {
        return requester->isClosed || requester->reply;
    };
    while (!std::ranges::all_of(requesters, isDone) && std::chrono::steady_clock::now() < until) {
        context.run_one_for(std::chrono::milliseconds(100));
        most = std::max(most, links.heldBytes());
    }
    EXPECT_LE(most, AsioServerLinks::maximumHeldBytes);
    EXPECT_TRUE(std::ranges::all_of(requesters, isDone));
    // Room that is free again is used: not all of them are turned away.
    EXPECT_TRUE(std::ranges::any_of(
        requesters, [](const auto &requester) { return requester->reply.has_value(); }));
}

/// Answers the first request on a connection with some bytes and keeps the connection open.
class OpenServer
{
public:
    OpenServer(asio::io_context &context, std::string bytes)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_socket(context)
        , m_bytes(std::move(bytes))
    {
        m_acceptor.async_accept(m_socket, [this](const error_code &error) {
            if (!error)
                m_socket.async_read_some(asio::buffer(m_in), [this](const error_code &, auto) {
                    error_code ignored;
                    asio::write(m_socket, asio::buffer(m_bytes), ignored);
                    onAnswered(m_socket);
                });
        });
    }
    virtual ~OpenServer() = default;
    [[nodiscard]] Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    virtual void onAnswered(tcp::socket &) {}

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::array<char, 4096> m_in{};
    std::string m_bytes;
};

/// Closes the connection after its answer.
class ClosingServer final : public OpenServer
{
public:
    using OpenServer::OpenServer;

private:
    void onAnswered(tcp::socket &socket) override
    {
        error_code ignored;
        socket.close(ignored);
    }
};

// Guards against turning away ordinary replies, because others that never end hold all the room.
TEST(ServerLinks, UnfinishedRepliesThatHoldMuchMakeRoomForOthers)
{
    constexpr std::size_t limit = 1'000'000;
    constexpr std::size_t stuckServers = 4;
    // Together they leave less room than the head of an ordinary reply takes.
    const std::string unfinished =
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 999999\r\n\r\n";
    const std::size_t each = limit / stuckServers - 10;
    asio::io_context context;
    AsioServerLinks links(context, headerNames());
    links.setMaximumHeldBytes(limit);
    std::vector<std::unique_ptr<OpenServer>> servers;
    std::vector<std::unique_ptr<Requester>> stuck;
    for (std::size_t count = 0; count < stuckServers; ++count) {
        servers.push_back(std::make_unique<OpenServer>(
            context, unfinished + std::string(each - unfinished.size(), 'x')));
        stuck.push_back(std::make_unique<Requester>(links, servers.back()->address()));
    }
    const auto runUntil = [&context](const auto &isDone) {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!isDone() && std::chrono::steady_clock::now() < until)
            context.run_one_for(std::chrono::milliseconds(50));
    };
    runUntil([&] { return links.heldBytes() == stuckServers * each; });
    ASSERT_EQ(links.heldBytes(), stuckServers * each);
    for (int number = 0; number < 20; ++number) {
        OpenServer server(context,
                          "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3000\r\n\r\n"
                              + std::string(3000, 'x'));
        Requester ordinary(links, server.address());
        runUntil([&] { return ordinary.isClosed || ordinary.reply; });
        EXPECT_TRUE(ordinary.reply) << number;
        EXPECT_LE(links.heldBytes(), limit);
    }
    EXPECT_EQ(std::ranges::count_if(stuck, [](const auto &link) { return link->isClosed; }), 1);
}

// Guards against dropping a load report because of a pace that is missing, as servers of the
// previous release send it, or unreadable.
TEST(ServerLinks, PaceIsOptionalInALoadReport)
{
    struct Case
    {
        std::string load;
        std::optional<double> pace;
    };
    const std::vector<Case> cases{
        {"1,2,3", std::nullopt},     {"1,2,3,250", 2.5},        {"1,2,3,62.5", 0.625},
        {"1,2,3,250,7", 2.5},        {"1,2,3,x", std::nullopt}, {"1,2,3,-5", std::nullopt},
        {"1,2,3,nan", std::nullopt}, {"1,2,3,1e9", 100.0},      {"1,2,3,0.001", 0.1}};
    for (const Case &testCase : cases) {
        asio::io_context context;
        ClosingServer server(context, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nCold: 1500\r\nLoad: "
                                          + testCase.load + "\r\nContent-Length: 0\r\n\r\n");
        AsioServerLinks links(context, headerNames());
        Requester requester(links, server.address());
        while (!requester.isClosed && !requester.reply)
            ASSERT_GT(context.run_one_for(std::chrono::seconds(5)), 0U);
        ASSERT_TRUE(requester.reply);
        EXPECT_EQ(requester.reply->warmUpLeft, milliseconds(1500));
        ASSERT_TRUE(requester.reply->load) << testCase.load;
        EXPECT_EQ(requester.reply->load->waiting, 2) << testCase.load;
        EXPECT_EQ(requester.reply->load->pace, testCase.pace) << testCase.load;
    }
}

// Guards against passing on a message with a status of no class as a server's answer, and against
// waiting for another one behind it until the caller's time is over (MIXED).
TEST(ServerLinks, MessageWithAStatusOfNoClassIsNoReply)
{
    for (const char *status : {"000", "001", "099", "600", "999"}) {
        for (const char *rest : {"Content-Length: 2\r\n\r\nok", "\r\nok", "Request-Id: r1\r\n\r\n",
                                 "Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok"}) {
            asio::io_context context;
            OpenServer server(context, std::string("HTTP/1.1 ") + status + " Odd\r\n" + rest);
            AsioServerLinks links(context, headerNames());
            Requester requester(links, server.address());
            const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
            while (!requester.isClosed && !requester.reply
                   && std::chrono::steady_clock::now() < until)
                context.run_one_for(std::chrono::milliseconds(50));
            EXPECT_TRUE(requester.isClosed) << status << " " << rest;
            EXPECT_FALSE(requester.reply) << status << " " << rest;
        }
    }
}

/// Answers without a length before it has read the request: at once with a first part, and after a
/// time with the second one, unless it ends before. Its window is small.
class EarlyServer
{
public:
    EarlyServer(asio::io_context &context, std::chrono::milliseconds workTime, bool isCrashing)
        : m_acceptor(context)
        , m_socket(context)
        , m_timer(context)
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(8192));
        m_acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        m_acceptor.listen();
        m_acceptor.async_accept(m_socket, [this, workTime, isCrashing](const error_code &) {
            m_socket.async_read_some(
                asio::buffer(m_in), [this](const error_code &, std::size_t count) {
                    m_read += count;
                    send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nReceipt: a\r\n\r\nfirst");
                });
            m_timer.expires_after(workTime);
            m_timer.async_wait([this, isCrashing](const error_code &) {
                // With unread bytes, closing resets the connection.
                error_code ignored;
                if (isCrashing) {
                    m_socket.close(ignored);
                    return;
                }
                send(" second");
                readOn();
            });
        });
    }
    [[nodiscard]] Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void send(const std::string &bytes)
    {
        error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }
    /// Ends the reply when most of the request is there, and reads what is left.
    void readOn()
    {
        m_socket.async_read_some(asio::buffer(m_in),
                                 [this](const error_code &error, std::size_t count) {
                                     m_read += count;
                                     error_code ignored;
                                     if (m_read >= longBody)
                                         m_socket.shutdown(tcp::socket::shutdown_send, ignored);
                                     if (!error)
                                         readOn();
                                 });
    }

public:
    static constexpr std::size_t longBody = std::size_t{256} * 1024;

private:
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 4096> m_in{};
    std::size_t m_read = 0;
};

// Guards against taking the reply of a server that ended for a whole one: the connection was reset
// while the request was written, and the reader found the end of the stream only (MIXED).
TEST(ServerLinks, ReplyWithoutLengthIsNoReplyWhenTheConnectionIsResetDuringTheWrite)
{
    // More than the buffers of both systems hold, so that the write has to wait.
    for (int run = 0; run < 5; ++run) {
        asio::io_context context;
        EarlyServer server(context, std::chrono::milliseconds(50), true);
        AsioServerLinks links(context, headerNames());
        Requester requester(links, server.address(), std::size_t{8} * 1024 * 1024);
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!requester.isClosed && !requester.reply && std::chrono::steady_clock::now() < until)
            context.run_one_for(std::chrono::milliseconds(50));
        EXPECT_TRUE(requester.isClosed);
        EXPECT_FALSE(requester.reply);
    }
}

// Guards against ending the connection to a slow server that does not read a long request for some
// seconds, and passing on what it has sent until then (MIXED).
TEST(ServerLinks, SlowServerThatReadsLateIsWaitedFor)
{
    asio::io_context context;
    EarlyServer server(context, std::chrono::milliseconds(5000), false);
    AsioServerLinks links(context, headerNames());
    Requester requester(links, server.address(), EarlyServer::longBody);
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(12);
    while (!requester.isClosed && !requester.reply && std::chrono::steady_clock::now() < until)
        context.run_one_for(std::chrono::milliseconds(50));
    ASSERT_TRUE(requester.reply);
    EXPECT_EQ(requester.reply->body, "first second");
}

gateway::HealthProbeOutcome probeHealth(const std::string &reply)
{
    asio::io_context context;
    AsioTimerService timer(context);
    ClosingServer server(context, reply);
    AsioServerLinks links(context, headerNames());
    gateway::ServerRegistration registration;
    registration.id = ServerId("i-1");
    registration.address = server.address();
    std::optional<gateway::HealthProbeOutcome> outcome;
    gateway::HealthProbe probe(links, timer, registration, "/health",
                               [&outcome](auto given) { outcome = std::move(given); });
    while (!outcome && context.run_one_for(std::chrono::seconds(5)) > 0) {
    }
    return outcome.value_or(gateway::HealthProbeOutcome{});
}

// Guards against a health reply that is dropped because it names no request.
TEST(ServerLinks, HealthProbeReadsTheColdTime)
{
    const auto outcome =
        probeHealth("HTTP/1.1 200 OK\r\nCold: 2500\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(outcome.reply);
    EXPECT_EQ(outcome.reply->warmUpLeft, milliseconds(2500));
    EXPECT_FALSE(outcome.reply->isMisdirected);
}

// Guards against taking the health of another server, which has the address now, for that of the
// one that was asked.
TEST(ServerLinks, HealthReplyOfAnotherServerIsMisdirected)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer-Id: ";
    const auto own = probeHealth(head + "i-1\r\n\r\n");
    const auto foreign = probeHealth(head + "i-2\r\n\r\n");
    ASSERT_TRUE(own.reply && foreign.reply);
    EXPECT_FALSE(own.reply->isMisdirected);
    EXPECT_TRUE(foreign.reply->isMisdirected);
}

// Guards against taking a reply whose server ended in the middle of it for a whole one, with an
// empty or a short body.
TEST(ServerLinks, ReplyThatIsCutBeforeItsEndIsNoReply)
{
    const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nReceipt: a\r\n";
    const std::vector<std::pair<std::string, std::size_t>> replies{
        {ok + "Content-Length: 5\r\n\r\nhello", 0},
        {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0},
        {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n", 0},
        // Without a length, the body ends where the connection does.
        {ok + "\r\nhello", std::string("hello").size()},
    };
    for (const auto &[whole, bodyBytes] : replies) {
        for (std::size_t length = 0; length <= whole.size(); ++length) {
            asio::io_context context;
            ClosingServer server(context, whole.substr(0, length));
            AsioServerLinks links(context, headerNames());
            Requester requester(links, server.address());
            while (!requester.isClosed && !requester.reply)
                ASSERT_GT(context.run_one_for(std::chrono::seconds(5)), 0U);
            const bool isWhole = length >= whole.size() - bodyBytes;
            EXPECT_EQ(requester.reply.has_value(), isWhole) << whole.substr(0, length);
        }
    }
}

/// Answers each request on one connection with the next of some replies.
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &context, std::vector<std::string> replies)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_socket(context)
        , m_replies(std::move(replies))
    {
        m_acceptor.async_accept(m_socket, [this](const error_code &error) {
            if (!error)
                answerNext();
        });
    }
    [[nodiscard]] Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void answerNext()
    {
        m_socket.async_read_some(asio::buffer(m_in), [this](const error_code &error, auto) {
            if (error || m_next == m_replies.size())
                return;
            error_code ignored;
            asio::write(m_socket, asio::buffer(m_replies[m_next++]), ignored);
            answerNext();
        });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::array<char, 4096> m_in{};
    std::vector<std::string> m_replies;
    std::size_t m_next = 0;
};

/// Sends requests "r1", "r2" and so on, each when the one before has been answered.
class SerialRequester final : public gateway::ServerLinkListener
{
public:
    SerialRequester(AsioServerLinks &links, const Address &address, bool hasIds = true)
        : m_hasIds(hasIds)
        , m_link(links.open(address, *this))
    {
    }

    void onOpened() override { sendNext(); }
    void onReply(gateway::ServerReply reply, bool isReusable) override
    {
        replies.push_back(std::move(reply));
        wasReusable = isReusable;
        if (isReusable)
            sendNext();
    }
    void onClosed(gateway::LinkEnd) override { isClosed = true; }

    std::vector<gateway::ServerReply> replies;
    bool wasReusable = true;
    bool isClosed = false;

private:
    void sendNext()
    {
        auto request = std::make_shared<gateway::CallerRequest>();
        if (m_hasIds)
            request->id = RequestId("r" + std::to_string(replies.size() + 1));
        request->method = "GET";
        request->target = "/x";
        request->host = "host.example";
        m_link->send({std::move(request), ServerId("i-1"), seconds(1)});
    }

    bool m_hasIds;
    std::unique_ptr<gateway::ServerLink> m_link;
};

std::string replyWith(const std::string &fields, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 1\r\n\r\nx";
}

// Guards against a damaged second copy of an earlier reply, without an id, that counts as the reply
// to the next request: as a success that is another caller's, or as proof that nothing was
// executed.
TEST(ServerLinks, ReplyWithoutAnIdOnAUsedConnectionIsNoReply)
{
    for (const std::string &copy :
         {replyWith("Receipt: a\r\n"), replyWith("Not-Run: 1\r\n", "503 Busy"),
          replyWith("Reqvest-Id: r1\r\n"), replyWith("", "421 Misdirected"),
          std::string("HTTP/1.1 200 OK\r\nReceipt: a\r\nConnection: close\r\n\r\nx")}) {
        asio::io_context context;
        ScriptedServer server(context, {replyWith("Request-Id: r1\r\n"), copy});
        AsioServerLinks links(context, headerNames());
        SerialRequester requester(links, server.address());
        context.run_for(std::chrono::milliseconds(50));
        EXPECT_EQ(requester.replies.size(), 1U) << copy;
        if (copy.find("close") == std::string::npos) {
            EXPECT_TRUE(requester.isClosed) << copy;
        }
    }
}

TEST(ServerLinks, ReplyWithoutAnIdToTheOnlyRequestIsTakenAndEndsTheConnection)
{
    for (const bool hasIds : {true, false}) {
        asio::io_context context;
        ScriptedServer server(context, {replyWith("", "400 Bad Request"), replyWith("")});
        AsioServerLinks links(context, headerNames());
        SerialRequester requester(links, server.address(), hasIds);
        context.run_for(std::chrono::milliseconds(50));
        ASSERT_EQ(requester.replies.size(), 1U);
        EXPECT_EQ(requester.replies.front().status, 400);
        EXPECT_FALSE(requester.wasReusable);
    }
}

TEST(ServerLinks, ReplyToAnEarlierRequestIsSkippedAndTheRightOneTaken)
{
    asio::io_context context;
    ScriptedServer server(context, {replyWith("Request-Id: r1\r\n"),
                                    replyWith("Request-Id: r1\r\nNot-Run: 1\r\n", "503 Busy")
                                        + replyWith("Request-Id: r2\r\n")});
    AsioServerLinks links(context, headerNames());
    SerialRequester requester(links, server.address());
    context.run_for(std::chrono::milliseconds(50));
    ASSERT_EQ(requester.replies.size(), 2U);
    EXPECT_EQ(requester.replies.back().status, 200);
    EXPECT_FALSE(requester.wasReusable);
}

} // namespace
