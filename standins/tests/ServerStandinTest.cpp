#include "Asio.h"

#include <oleander/adapters/servers/AsioServerNetwork.h>
#include <oleander/standins/ServerStandin.h>

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::standins;

namespace {

struct Listener final : ServerNetworkListener
{
    void onConnectionOpened(ConnectionId connection) override { opened.push_back(connection); }
    void onConnectionEnded(ConnectionId, ConnectionEnd end) override { ended.push_back(end); }
    void onReply(ConnectionId, const SubReply &reply) override { replies.push_back(reply); }

    std::vector<ConnectionId> opened;
    std::vector<ConnectionEnd> ended;
    std::vector<SubReply> replies;
};

struct ServerStandinTest : ::testing::Test
{
    void start(const ServerShape &shape, int slots = 1, int connectionCap = 10)
    {
        server.id = ServerId("server-1");
        server.address = "127.0.0.1:0";
        server.slots = slots;
        server.connectionCap = connectionCap;
        standin = std::make_unique<ServerStandin>(context, server, shape, ledger);
        Reason reason;
        const auto port = standin->listen(reason);
        ASSERT_TRUE(port) << reason.text;
        server.address = "127.0.0.1:" + std::to_string(*port);
    }

    ConnectionId open()
    {
        const auto before = listener.opened.size() + listener.ended.size();
        const auto connection = network.open(server, listener);
        runUntil([&]() { return listener.opened.size() + listener.ended.size() > before; });
        return connection;
    }

    void send(ConnectionId connection, std::uint64_t id, const std::string &payload = "find",
              bool isIdempotent = true)
    {
        SubRequest request;
        request.id = SubRequestId(id);
        request.caller = CallerId("caller");
        request.request = RequestId("claim");
        request.shard = ShardId("s1");
        request.snapshot = SnapshotId(3);
        request.timeLeft = seconds(5);
        request.payload = payload;
        request.isIdempotent = isIdempotent;
        network.send(connection, request);
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(milliseconds(5));
        }
        return condition();
    }

    bool waitForReplies(std::size_t count)
    {
        return runUntil([&]() { return listener.replies.size() >= count; });
    }

    static ServerShape quick()
    {
        ServerShape shape;
        shape.serviceTime = Duration{};
        return shape;
    }

    static ServerShape slow()
    {
        ServerShape shape;
        shape.serviceTime = seconds(2);
        return shape;
    }

    asio::io_context context{1};
    ExecutionLedger ledger;
    Server server;
    std::unique_ptr<ServerStandin> standin;
    Listener listener;
    AsioServerNetwork network{context, {}};
};

} // namespace

TEST_F(ServerStandinTest, AnswersFromTheAskedShardAndSnapshot)
{
    start(quick());
    send(open(), 1);
    ASSERT_TRUE(waitForReplies(1));
    const auto &reply = listener.replies[0];
    EXPECT_EQ(reply.kind, ReplyKind::Ok);
    EXPECT_EQ(reply.snapshot, SnapshotId(3));
    ASSERT_EQ(reply.documents.size(), 4U);
    EXPECT_TRUE(reply.documents[0].body.starts_with("s1@3;find;"));
}

TEST_F(ServerStandinTest, RecognisesARepeatedNonIdempotentRequest)
{
    start(quick());
    const auto connection = open();
    send(connection, 1, "claim", false);
    ASSERT_TRUE(waitForReplies(1));
    send(connection, 2, "claim", false);
    ASSERT_TRUE(waitForReplies(2));
    EXPECT_EQ(listener.replies[1].kind, ReplyKind::AlreadyRan);
    EXPECT_EQ(ledger.doubledRuns(), 0U);
    EXPECT_TRUE(ledger.hasRun(CallerId("caller"), RequestId("claim")));
    EXPECT_FALSE(ledger.hasRun(CallerId("caller"), RequestId("other")));
}

TEST_F(ServerStandinTest, CountsADoubledRunAfterTheMemoryIsLost)
{
    start(quick());
    send(open(), 1, "claim", false);
    ASSERT_TRUE(waitForReplies(1));
    standin->revive();
    send(open(), 2, "claim", false);
    ASSERT_TRUE(waitForReplies(2));
    EXPECT_EQ(ledger.doubledRuns(), 1U);
}

TEST_F(ServerStandinTest, CrashMarkerKillsTheServer)
{
    start(quick());
    send(open(), 1, std::string("x") + std::string(crashMarker));
    ASSERT_TRUE(runUntil([&]() { return !listener.ended.empty(); }));
    EXPECT_EQ(listener.ended[0], ConnectionEnd::Lost);
    open();
    ASSERT_EQ(listener.ended.size(), 2U);
    EXPECT_EQ(listener.ended[1], ConnectionEnd::NotOpened);
    EXPECT_EQ(standin->counts().crashes, 1U);
}

TEST_F(ServerStandinTest, FaultsAreAnsweredByKind)
{
    start(quick());
    const auto connection = open();
    ServerFaults draining;
    draining.isDraining = true;
    standin->setFaults(draining);
    send(connection, 1);
    ASSERT_TRUE(waitForReplies(1));
    ServerFaults shedding;
    shedding.isShedding = true;
    standin->setFaults(shedding);
    send(connection, 2);
    ASSERT_TRUE(waitForReplies(2));
    ServerFaults moved;
    moved.oldestSnapshot = 4;
    standin->setFaults(moved);
    send(connection, 3);
    ASSERT_TRUE(waitForReplies(3));
    EXPECT_EQ(listener.replies[0].kind, ReplyKind::Draining);
    EXPECT_EQ(listener.replies[1].kind, ReplyKind::Shed);
    EXPECT_EQ(listener.replies[2].kind, ReplyKind::WrongSnapshot);
    EXPECT_EQ(ledger.executions(), 0U);
}

TEST_F(ServerStandinTest, CancelStopsTheRunningRequestOnly)
{
    start(slow());
    const auto busy = open();
    const auto idle = open();
    send(busy, 7);
    ASSERT_TRUE(runUntil([&]() { return standin->counts().executed == 1; }));
    network.cancel(idle, SubRequestId(7));
    ASSERT_TRUE(waitForReplies(2));
    EXPECT_EQ(standin->counts().cancelled, 1U);
    EXPECT_EQ(listener.replies[0].kind, ReplyKind::Cancelled);
    EXPECT_EQ(listener.replies[1].kind, ReplyKind::Cancelled);
}

TEST_F(ServerStandinTest, RequestsBeyondSlotsAndQueueAreShed)
{
    auto shape = slow();
    shape.queueLimit = 1;
    start(shape);
    const std::vector<ConnectionId> connections{open(), open(), open()};
    for (std::size_t index = 0; index < connections.size(); ++index)
        send(connections[index], index + 1);
    ASSERT_TRUE(waitForReplies(1));
    EXPECT_EQ(listener.replies[0].kind, ReplyKind::Shed);
    EXPECT_EQ(standin->counts().executed, 1U);
}

TEST_F(ServerStandinTest, ConnectionsBeyondTheCapAreClosed)
{
    start(quick(), 1, 1);
    open();
    open();
    ASSERT_TRUE(runUntil([&]() { return !listener.ended.empty(); }));
    EXPECT_EQ(standin->connections().refusedAtCap, 1U);
    EXPECT_EQ(standin->connections().peak, 1);
}

TEST_F(ServerStandinTest, SilentConnectionOwesItsReplyWhileNewOnesWork)
{
    start(quick());
    const auto silent = open();
    runUntil([&]() { return standin->connections().open == 1; });
    standin->silenceOpenConnections();
    send(silent, 1);
    send(open(), 2);
    ASSERT_TRUE(waitForReplies(1));
    EXPECT_EQ(listener.replies[0].id, SubRequestId(2));
    EXPECT_TRUE(listener.ended.empty());
}

TEST_F(ServerStandinTest, FrozenServerAnswersAfterItsThaw)
{
    start(quick());
    const auto connection = open();
    standin->freeze();
    send(connection, 1);
    context.restart();
    context.run_for(milliseconds(30));
    EXPECT_TRUE(listener.replies.empty());
    standin->thaw();
    ASSERT_TRUE(waitForReplies(1));
}
