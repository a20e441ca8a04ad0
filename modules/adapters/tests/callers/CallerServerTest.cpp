#include "callers/RawClient.h"
#include "concurrency/LoopThread.h"

#include <oleander/adapters/callers/CallerServer.h>
#include <oleander/adapters/callers/QueryCodec.h>

#include <gtest/gtest.h>

#include <atomic>
#include <map>

using namespace oleander;

namespace {

struct NoLog : EventLog
{
    using EventLog::record;
    void record(EventId, const RequestId &, std::string_view) override {}
};

Answer answered()
{
    Answer answer;
    answer.outcome = Outcome::Answered;
    answer.ran = ExecutionState::Ran;
    answer.snapshot = SnapshotId(7);
    answer.coverage = {1, 1, {}};
    return answer;
}

/// Answers inside submit(), but for queries whose request id is "held".
struct HoldingHandler : QueryHandler
{
    QueryTicket submit(Query query, std::function<void(Answer)> done) override
    {
        const QueryTicket ticket(++tickets);
        if (query.request.text() == "held") {
            held.emplace(ticket, std::move(done));
            ++holding;
        } else {
            done(answered());
        }
        return ticket;
    }
    void abandon(QueryTicket ticket) override
    {
        held.erase(ticket);
        ++abandoned;
    }
    void answerHeld()
    {
        for (const auto &[ticket, done] : std::exchange(held, {}))
            done(answered());
    }

    std::uint64_t tickets = 0;
    std::map<QueryTicket, std::function<void(Answer)>> held;
    std::atomic<int> holding = 0;
    std::atomic<int> abandoned = 0;
};

std::string post(const std::string &body, const std::string &headers = "")
{
    return "POST /v1/query HTTP/1.1\r\nHost: x\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string queryBody(const std::string &request)
{
    return R"({"caller":"c","backend":"b","requestId":")" + request + R"("})";
}

void waitFor(const std::atomic<int> &value, int wanted)
{
    for (int attempt = 0; attempt < 1000 && value < wanted; ++attempt)
        std::this_thread::sleep_for(milliseconds(5));
    EXPECT_EQ(value, wanted);
}

struct CallerServerTest : testing::Test
{
    CallerServerTest()
    {
        limits.maximumHeadBytes = 1024;
        limits.maximumBodyBytes = 2048;
        limits.maximumConnections = 8;
        limits.requestTimeout = milliseconds(200);
        limits.stopGrace = milliseconds(100);
    }
    void SetUp() override
    {
        port = worker.run([this] {
            Reason reason;
            server = std::make_unique<CallerServer>(worker.context(), handler, log, limits);
            return server->listen("127.0.0.1:0", reason).value_or(0);
        });
        ASSERT_NE(port, 0);
    }
    ~CallerServerTest() override
    {
        worker.run([this] { server.reset(); });
    }
    std::string exchange(const std::string &bytes)
    {
        RawClient client(port);
        client.send(bytes);
        return client.readResponse();
    }

    HttpLimits limits;
    NoLog log;
    HoldingHandler handler;
    std::unique_ptr<CallerServer> server;
    std::uint16_t port = 0;
    LoopThread worker;
};

bool holds(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_F(CallerServerTest, AnswersQueriesOnAKeptConnectionInOrder)
{
    RawClient client(port);
    client.send(post(queryBody("1")) + post(queryBody("2")));
    for (int count = 0; count < 2; ++count) {
        const std::string response = client.readResponse();
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200 OK\r\n")) << response;
        EXPECT_TRUE(holds(response, R"("outcome":"answered","ran":"ran","snapshot":7)"));
    }
}

TEST_F(CallerServerTest, BadRequestsGetAnErrorThatNamesTheFault)
{
    const std::string noQuery = exchange(post(R"({"caller":5,"backend":"b","requestId":"r"})"));
    EXPECT_TRUE(noQuery.starts_with("HTTP/1.1 400 ")) << noQuery;
    EXPECT_TRUE(holds(noQuery, "$.caller: must be a string")) << noQuery;
    EXPECT_TRUE(holds(noQuery, R"("outcome":"refused","ran":"notRun")"));

    const std::string tooLong = exchange(post(std::string(4096, ' ')));
    EXPECT_TRUE(tooLong.starts_with("HTTP/1.1 413 ")) << tooLong;
    EXPECT_TRUE(holds(tooLong, R"("kind":"bodyTooLarge")")) << tooLong;

    const std::string chunkedTooLong =
        exchange("POST /v1/query HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n"
                 + std::string(4096, ' ') + "\r\n0\r\n\r\n");
    EXPECT_TRUE(chunkedTooLong.starts_with("HTTP/1.1 413 ")) << chunkedTooLong;

    const std::string longHead = exchange(post("{}", "X: " + std::string(2000, 'x') + "\r\n"));
    EXPECT_TRUE(longHead.starts_with("HTTP/1.1 400 ")) << longHead;
    EXPECT_TRUE(holds(longHead, "longer than 1024 bytes")) << longHead;

    EXPECT_TRUE(exchange("nonsense\r\n\r\n").starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(exchange("GET /v1/query HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 405 "));
    EXPECT_TRUE(exchange("POST /metrics HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 404 "));
}

TEST_F(CallerServerTest, HalfSentRequestIsClosedAndOthersAreUnharmed)
{
    RawClient slow(port);
    slow.send("POST /v1/query HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
    EXPECT_TRUE(exchange(post(queryBody("1"))).starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(slow.readAll(), "");
    EXPECT_EQ(worker.run([this] { return server->statistics().protocolErrors; }), 1U);
}

TEST_F(CallerServerTest, ClosedConnectionAbandonsItsQuery)
{
    RawClient client(port);
    client.send(post(queryBody("held")));
    waitFor(handler.holding, 1);
    client.close();
    waitFor(handler.abandoned, 1);
}

TEST_F(CallerServerTest, ConnectionsBeyondTheLimitAreRefused)
{
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t count = 0; count < limits.maximumConnections; ++count) {
        clients.push_back(std::make_unique<RawClient>(port));
        clients.back()->send(post(queryBody("1")));
        EXPECT_TRUE(clients.back()->readResponse().starts_with("HTTP/1.1 200 "));
    }
    RawClient beyond(port);
    const std::string response = beyond.readAll();
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    clients.front()->send(post(queryBody("2")));
    EXPECT_TRUE(clients.front()->readResponse().starts_with("HTTP/1.1 200 "));
}

TEST_F(CallerServerTest, PlannedStopAnswersWhatIsUnderWay)
{
    RawClient idle(port);
    RawClient client(port);
    client.send(post(queryBody("held")));
    waitFor(handler.holding, 1);
    std::atomic<int> ended = 0;
    worker.run([&] { server->beginStop([&] { ++ended; }); });
    EXPECT_EQ(idle.readAll(), "");
    EXPECT_EQ(ended, 0);
    worker.run([this] { handler.answerHeld(); });
    const std::string response = client.readAll();
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 OK\r\n")) << response;
    EXPECT_TRUE(holds(response, "Connection: close\r\n")) << response;
    client.close();
    idle.close();
    waitFor(ended, 1);
    EXPECT_THROW(RawClient{port}, boost::system::system_error);
}

TEST_F(CallerServerTest, DestroyedServerAbandonsQueries)
{
    RawClient client(port);
    client.send(post(queryBody("held")));
    waitFor(handler.holding, 1);
    worker.run([this] { server.reset(); });
    EXPECT_EQ(handler.abandoned, 1);
    EXPECT_EQ(client.readAll(), "");
}

TEST_F(CallerServerTest, SeveralServersShareAPort)
{
    LoopThread other;
    std::unique_ptr<CallerServer> second;
    other.run([&] {
        Reason reason;
        second = std::make_unique<CallerServer>(other.context(), handler, log, limits);
        EXPECT_EQ(second->listen("127.0.0.1:" + std::to_string(port), reason), port) << reason.text;
    });
    other.run([&] { second.reset(); });
}

TEST(CallerServer, BadAddressIsRefused)
{
    LoopThread worker;
    worker.run([&] {
        NoLog log;
        HoldingHandler handler;
        CallerServer server(worker.context(), handler, log);
        for (const std::string address : {"", "localhost:1", "127.0.0.1", "127.0.0.1:99999"}) {
            Reason reason;
            EXPECT_FALSE(server.listen(address, reason));
            EXPECT_FALSE(reason.text.empty());
        }
    });
}
