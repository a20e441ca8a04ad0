#include <oleander/adapters/gateway/CallerIngress.h>
#include <oleander/adapters/time/AsioTimerService.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

using namespace oleander;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

HeaderNames headerNames()
{
    HeaderNames names;
    names.requestId = "Request-Id";
    names.callerTimeout = "Timeout";
    names.expectedServer = "Expected";
    return names;
}

/// Shows the time that a test sets and calls nobody, so that no pause of the machine is seen.
struct SetTimer : TimerService
{
    TimePoint time = TimePoint{} + seconds(100);

    [[nodiscard]] TimePoint now() const override { return time; }
    [[nodiscard]] WallTime wallNow() const override { return {}; }
    Subscription callAfter(Duration, TimerCallback) override { return {}; }
    Subscription callEvery(Duration, TimerCallback) override { return {}; }
    void post(std::function<void()>) override {}
};

struct NoLog : EventLog
{
    void record(EventId, const RequestId &, std::string_view) override {}
    void record(EventId, const RequestId &, Fields) override {}
};

/// Sends bytes of a caller and returns what comes back until the gateway closes the connection.
/// What callers may hold follows from `machineBytes`, if given.
std::string responseTo(const std::string &sent, std::size_t machineBytes = 0)
{
    asio::io_context context;
    AsioTimerService timer(context);
    NoLog log;
    int requests = 0;
    CallerIngress ingress(context, timer, headerNames(),
                          [&requests](const std::shared_ptr<const gateway::CallerRequest> &,
                                      const gateway::AnswerCallback &) {
                              ++requests;
                              return std::shared_ptr<gateway::Call>();
                          });
    if (machineBytes > 0)
        ingress.setMemory(std::make_shared<ProcessMemory>(machineBytes, timer, log));
    Reason reason;
    const auto port = ingress.listen({"127.0.0.1", 0}, reason);
    if (!port)
        return reason.text;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), *port});
    std::string received;
    std::array<char, 4096> buffer{};
    bool isClosed = false;
    asio::async_write(socket, asio::buffer(sent), [](const auto &, std::size_t) {});
    const std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer),
                               [&](const boost::system::error_code &error, std::size_t count) {
                                   received.append(buffer.data(), count);
                                   isClosed = !!error;
                                   if (!error)
                                       read();
                               });
    };
    read();
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!isClosed && std::chrono::steady_clock::now() < until)
        context.run_one_for(std::chrono::milliseconds(100));
    EXPECT_EQ(requests, 0);
    return received;
}

// Guards against bodies that are read without room for them, and against a refusal that claims
// that a request was not run though it was passed on.
TEST(CallerIngress, BodyWithoutRoomInMemoryIsRefusedBeforeItIsPassedOn)
{
    constexpr std::size_t machineBytes = std::size_t{4} * 50'000;
    const std::string received =
        responseTo("POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 60000\r\n\r\n",
                   machineBytes);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
    EXPECT_NE(received.find("Retry-After: "), std::string::npos) << received;
    EXPECT_NE(received.find("Request-Id: r\r\n"), std::string::npos) << received;
    const std::string whole =
        "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 20000\r\n\r\n";
    EXPECT_TRUE(
        responseTo(whole + std::string(20'000, 'x'), machineBytes).starts_with("HTTP/1.1 503 "));
}

// Guards against heads whose many fields take far more memory than their bytes, and are not counted
// (LOST, processes that end for lack of memory).
TEST(CallerIngress, FieldsOfAHeadCountAsMemory)
{
    constexpr std::size_t machineBytes = std::size_t{4} * 50'000;
    std::string head =
        "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1000\r\n";
    for (int field = 0; field < 1000; ++field)
        head += "a: \r\n";
    const std::string received = responseTo(head + "\r\n" + std::string(1000, 'x'), machineBytes);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
}

TEST(CallerIngress, AbsurdContentLengthIsRefused)
{
    const std::string received =
        responseTo("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000000\r\n\r\n");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 413 ")) << received;
}

TEST(CallerIngress, HeaderWithoutEndIsRefused)
{
    const std::string received =
        responseTo("GET /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(std::size_t{1} << 20, 'x'));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 431 ")) << received;
}

TEST(CallerIngress, BodyWithoutEndIsRefused)
{
    std::string sent = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int count = 0; count < 400'000; ++count)
        sent += "1\r\nx\r\n";
    const std::string received = responseTo(sent);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 413 ")) << received;
}

TEST(CallerIngress, ChunkExtensionWithoutEndIsRefused)
{
    const std::string received =
        responseTo("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a="
                   + std::string(std::size_t{1} << 20, 'x'));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 4")) << received;
}

// Guards against request smuggling: a body of unknown length that is taken for a request of its
// own.
TEST(CallerIngress, BodyThatIsNotChunkedAtLastIsRefusedAndTheConnectionClosed)
{
    for (const char *coding : {"gzip", "xchunked", "chunked, identity", "identity", "gzip, chunked",
                               "chunked, chunked", ""}) {
        for (const char *length : {"", "Content-Length: 5\r\n"}) {
            const std::string received = responseTo(
                std::string("POST /x HTTP/1.1\r\nHost: h\r\n") + length + "Transfer-Encoding: "
                + coding + "\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
            EXPECT_TRUE(received.starts_with("HTTP/1.1 400 ")) << coding << received;
            EXPECT_NE(received.find("Connection: close"), std::string::npos) << coding;
            EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos) << coding << received;
        }
    }
}

// Guards against callers that do not read their answers and keep the memory of these without end.
TEST(CallerIngress, ConnectionWhoseAnswerIsNotReadIsClosed)
{
    asio::io_context context;
    AsioTimerService timer(context);
    CallerIngress ingress(
        context, timer, headerNames(),
        [&](const std::shared_ptr<const gateway::CallerRequest> &,
            const gateway::AnswerCallback &answer) {
            timer.post([answer] { answer({200, {}, std::string(std::size_t{32} << 20, 'x')}); });
            return std::shared_ptr<gateway::Call>();
        });
    gateway::CallerLimits limits;
    limits.idleTimeout = milliseconds(400);
    ingress.setLimits(limits);
    Reason reason;
    const auto port = ingress.listen({"127.0.0.1", 0}, reason);
    ASSERT_TRUE(port) << reason.text;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), *port});
    asio::write(socket, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
    context.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(ingress.counts().connections, 1U);
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (ingress.counts().connections > 0 && std::chrono::steady_clock::now() < until)
        context.run_one_for(std::chrono::milliseconds(100));
    EXPECT_EQ(ingress.counts().connections, 0U);
    EXPECT_EQ(ingress.counts().unread, 1U);
}

// Guards against a number that overflows, so that a patient caller is refused for lack of time.
// Guards against clients that open all connections and send nothing, so that each caller that is
// sending a body is closed in their stead.
TEST(CallerIngress, CallerThatSendsABodyKeepsItsConnectionWhenIdleOnesCome)
{
    asio::io_context context;
    SetTimer timer;
    int requests = 0;
    CallerIngress ingress(context, timer, headerNames(),
                          [&requests](const std::shared_ptr<const gateway::CallerRequest> &,
                                      const gateway::AnswerCallback &) {
                              ++requests;
                              return std::shared_ptr<gateway::Call>();
                          });
    ingress.setMaximumConnections(3);
    Reason reason;
    const auto port = ingress.listen({"127.0.0.1", 0}, reason);
    ASSERT_TRUE(port) << reason.text;
    std::vector<tcp::socket> idle;
    const auto connect = [&] {
        timer.time += milliseconds(1);
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), *port});
        const std::uint64_t accepted = ingress.counts().accepted;
        for (int turn = 0; turn < 100 && ingress.counts().accepted == accepted; ++turn)
            context.run_one_for(std::chrono::milliseconds(10));
        return socket;
    };
    const auto runUntil = [&](const std::function<bool()> &isDone) {
        for (int turn = 0; turn < 1000 && !isDone(); ++turn)
            context.run_one_for(std::chrono::milliseconds(10));
    };
    idle.push_back(connect());
    tcp::socket sender = connect();
    asio::write(sender, asio::buffer(std::string(
                            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")));
    runUntil([&] { return ingress.busyConnections() == 1; });
    idle.push_back(connect());
    idle.push_back(connect());
    EXPECT_EQ(ingress.counts().evicted, 1U);
    asio::write(sender, asio::buffer(std::string("body")));
    runUntil([&] { return requests == 1; });
    EXPECT_EQ(requests, 1);
}

TEST(CallerIngress, AbsurdTimeoutIsALongOne)
{
    for (const char *timeout :
         {"9223372036854775807", "9223372036854775", "99999999999999999999999"}) {
        asio::io_context context;
        AsioTimerService timer(context);
        std::shared_ptr<const gateway::CallerRequest> read;
        CallerIngress ingress(context, timer, headerNames(),
                              [&](std::shared_ptr<const gateway::CallerRequest> request,
                                  const gateway::AnswerCallback &) {
                                  read = std::move(request);
                                  return std::shared_ptr<gateway::Call>();
                              });
        Reason reason;
        const auto port = ingress.listen({"127.0.0.1", 0}, reason);
        ASSERT_TRUE(port) << reason.text;
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), *port});
        asio::write(socket, asio::buffer("GET /x HTTP/1.1\r\nHost: h\r\nTimeout: "
                                         + std::string(timeout) + "\r\n\r\n"));
        while (!read)
            ASSERT_GT(context.run_one_for(std::chrono::seconds(5)), 0U);
        EXPECT_EQ(read->callerTimeout, std::chrono::hours(24)) << timeout;
    }
}

} // namespace
