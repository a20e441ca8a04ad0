#include "ServerScript.h"
#include "support/EndlessServer.h"

#include <oleander/adapters/servers/ServerCodec.h>

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::testing;

namespace {

constexpr SubRequestId askedId(41);

SubRequest subRequest()
{
    SubRequest request;
    request.id = askedId;
    request.shard = ShardId("s1");
    request.snapshot = SnapshotId(3);
    request.payload = "find";
    request.timeLeft = seconds(1);
    return request;
}

std::string replyBody(SubRequestId id)
{
    SubReply reply;
    reply.id = id;
    reply.kind = ReplyKind::Ok;
    reply.shard = ShardId("s1");
    reply.snapshot = SnapshotId(3);
    reply.documents.push_back({DocumentId("d"), 1.5, "body"});
    std::string body;
    encodeSubReply(reply, body);
    return body;
}

struct AsioServerNetworkTest : ::testing::Test
{
    /// A connection to a peer that answers each request with these bytes.
    ConnectionId openTo(ScriptedPeer::Answer answer)
    {
        peer = std::make_unique<ScriptedPeer>(context, std::move(answer));
        server.address = peer->address();
        const auto connection = network.open(server, listener);
        EXPECT_TRUE(runUntil(context, [&]() { return listener.opened.size() == 1; }));
        return connection;
    }

    /// How a connection ends whose request is answered with these bytes; nothing is delivered.
    void expectEnd(const std::string &answer, ConnectionEnd end)
    {
        const auto connection = openTo([answer](const std::string &) { return answer; });
        network.send(connection, subRequest());
        ASSERT_TRUE(runUntil(context, [&]() { return !listener.ended.empty(); }));
        EXPECT_EQ(listener.ended.front(), std::pair(connection, end));
        EXPECT_TRUE(listener.replies.empty());
    }

    asio::io_context context{1};
    RecordingListener listener;
    std::unique_ptr<ScriptedPeer> peer;
    Server server;
    ServerNetworkLimits limits;
    AsioServerNetwork network{context, limits};
};

} // namespace

TEST_F(AsioServerNetworkTest, RequestsFollowEachOtherOnOneConnection)
{
    std::vector<std::string> seen;
    const auto connection = openTo([&](const std::string &request) {
        seen.push_back(request);
        return httpReply(replyBody(askedId));
    });
    network.send(connection, subRequest());
    ASSERT_TRUE(runUntil(context, [&]() { return listener.replies.size() == 1; }));
    network.send(connection, subRequest());
    ASSERT_TRUE(runUntil(context, [&]() { return listener.replies.size() == 2; }));
    EXPECT_TRUE(seen.front().starts_with("POST /v1/shard HTTP/1.1\r\n"));
    EXPECT_EQ(listener.replies.back().second.documents.front().body, "body");
    EXPECT_TRUE(listener.ended.empty());
}

TEST_F(AsioServerNetworkTest, CancelGoesToItsOwnPath)
{
    std::string seen;
    const auto connection = openTo([&](const std::string &request) {
        seen = request;
        return httpReply(replyBody(askedId));
    });
    network.cancel(connection, askedId);
    ASSERT_TRUE(runUntil(context, [&]() { return listener.replies.size() == 1; }));
    EXPECT_TRUE(seen.starts_with("POST /v1/cancel HTTP/1.1\r\n"));
}

TEST_F(AsioServerNetworkTest, ReplyInPiecesIsDeliveredOnce)
{
    const auto whole = httpReply(replyBody(askedId));
    const auto connection =
        openTo([&](const std::string &) { return whole.substr(0, whole.size() / 2); });
    network.send(connection, subRequest());
    runAMoment(context);
    EXPECT_TRUE(listener.replies.empty());
    peer->push(whole.substr(whole.size() / 2));
    ASSERT_TRUE(runUntil(context, [&]() { return listener.replies.size() == 1; }));
}

TEST_F(AsioServerNetworkTest, ReplyCutShortIsNeverDelivered)
{
    const auto whole = httpReply(replyBody(askedId));
    const auto connection =
        openTo([&](const std::string &) { return whole.substr(0, whole.size() - 1); });
    network.send(connection, subRequest());
    runAMoment(context);
    peer->closeConnections();
    ASSERT_TRUE(runUntil(context, [&]() { return !listener.ended.empty(); }));
    EXPECT_EQ(listener.ended.front(), std::pair(connection, ConnectionEnd::Lost));
    EXPECT_TRUE(listener.replies.empty());
}

TEST_F(AsioServerNetworkTest, ReplyToAnotherRequestIsAProtocolError)
{
    expectEnd(httpReply(replyBody(SubRequestId(42))), ConnectionEnd::ProtocolError);
}

TEST_F(AsioServerNetworkTest, BytesBehindTheReplyAreAProtocolError)
{
    const auto reply = httpReply(replyBody(askedId));
    expectEnd(reply + reply, ConnectionEnd::ProtocolError);
}

TEST_F(AsioServerNetworkTest, BytesThatAreNoHttpAreAProtocolError)
{
    expectEnd("220 ready to talk\r\n\r\n", ConnectionEnd::ProtocolError);
}

TEST_F(AsioServerNetworkTest, OtherStatusIsAProtocolError)
{
    expectEnd("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
              ConnectionEnd::ProtocolError);
}

TEST_F(AsioServerNetworkTest, OversizedReplyIsAProtocolError)
{
    const auto tooLong = std::to_string(limits.maximumReplyBytes + 1);
    expectEnd("HTTP/1.1 200 OK\r\nContent-Length: " + tooLong + "\r\n\r\n",
              ConnectionEnd::ProtocolError);
}

TEST_F(AsioServerNetworkTest, OversizedReplyWithBodyBytesIsAProtocolError)
{
    const auto tooLong = std::to_string(limits.maximumReplyBytes + 1);
    expectEnd("HTTP/1.1 200 OK\r\nContent-Length: " + tooLong + "\r\n\r\nbody",
              ConnectionEnd::ProtocolError);
}

TEST_F(AsioServerNetworkTest, UnaskedBytesOnAnIdleConnectionAreAProtocolError)
{
    openTo([](const std::string &) { return std::string(); });
    peer->push(httpReply(replyBody(askedId)));
    ASSERT_TRUE(runUntil(context, [&]() { return !listener.ended.empty(); }));
    EXPECT_EQ(listener.ended.front().second, ConnectionEnd::ProtocolError);
}

TEST_F(AsioServerNetworkTest, CloseOfAnIdleConnectionIsSeen)
{
    openTo([](const std::string &) { return std::string(); });
    peer->closeConnections();
    ASSERT_TRUE(runUntil(context, [&]() { return !listener.ended.empty(); }));
    EXPECT_EQ(listener.ended.front().second, ConnectionEnd::Lost);
}

TEST_F(AsioServerNetworkTest, ReplyThatAnnouncesACloseIsDeliveredThenLost)
{
    const auto connection = openTo(
        [](const std::string &) { return httpReply(replyBody(askedId), "Connection: close\r\n"); });
    network.send(connection, subRequest());
    ASSERT_TRUE(runUntil(context, [&]() { return !listener.ended.empty(); }));
    EXPECT_EQ(listener.replies.size(), 1U);
    EXPECT_EQ(listener.ended.front().second, ConnectionEnd::Lost);
}

TEST_F(AsioServerNetworkTest, RefusedAndMalformedAddressesAreNotOpened)
{
    asio::ip::tcp::acceptor unused(context, {asio::ip::make_address("127.0.0.1"), 0});
    server.address = "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
    unused.close();
    network.open(server, listener);
    server.address = "server-name:80";
    network.open(server, listener);
    EXPECT_TRUE(listener.ended.empty());
    ASSERT_TRUE(runUntil(context, [&]() { return listener.ended.size() == 2; }));
    EXPECT_EQ(listener.ended[0].second, ConnectionEnd::NotOpened);
    EXPECT_EQ(listener.ended[1].second, ConnectionEnd::NotOpened);
}

TEST_F(AsioServerNetworkTest, ClosedConnectionReportsNothingMore)
{
    const auto connection =
        openTo([](const std::string &) { return httpReply(replyBody(askedId)); });
    network.send(connection, subRequest());
    network.close(connection);
    network.close(connection);
    network.send(connection, subRequest());
    runAMoment(context);
    EXPECT_TRUE(listener.replies.empty());
    EXPECT_TRUE(listener.ended.empty());
}

TEST_F(AsioServerNetworkTest, ConnectionMayBeClosedInsideItsReply)
{
    const auto connection =
        openTo([](const std::string &) { return httpReply(replyBody(askedId)); });
    listener.whenReplied = [&](ConnectionId replied) { network.close(replied); };
    network.send(connection, subRequest());
    ASSERT_TRUE(runUntil(context, [&]() { return listener.replies.size() == 1; }));
    runAMoment(context);
    EXPECT_TRUE(listener.ended.empty());
}

TEST_F(AsioServerNetworkTest, LargePayloadArrivesWhole)
{
    std::string received;
    const auto connection = openTo([&](const std::string &chunk) {
        received += chunk;
        return received.ends_with("the end") ? httpReply(replyBody(askedId)) : std::string();
    });
    auto request = subRequest();
    request.payload.assign(std::size_t{8} * 1024 * 1024, 'p');
    request.payload += "the end";
    network.send(connection, request);
    ASSERT_TRUE(runUntil(context, [&]() { return listener.replies.size() == 1; }));
    EXPECT_GT(received.size(), request.payload.size());
}

// Guards against reading on in a reply without end, all of which would be kept in memory.
TEST_F(AsioServerNetworkTest, RepliesWithoutEndAreCutAfterABoundedNumberOfBytes)
{
    // Includes what the system's buffers take, and the largest reply.
    const std::size_t mostSent = limits.maximumReplyBytes + std::size_t{32} * 1024 * 1024;
    for (const auto &bytes : endlessBytes()) {
        EndlessServer endless(context, bytes.opening, bytes.repeated);
        server.address = addressText(endless.address());
        listener = {};
        const auto connection = network.open(server, listener);
        ASSERT_TRUE(runUntil(context, [&]() { return listener.opened.size() == 1; }));
        network.send(connection, subRequest());
        runUntil(context,
                 [&]() { return !listener.ended.empty() || endless.sentBytes() > mostSent; });
        EXPECT_FALSE(listener.ended.empty()) << bytes.name;
        EXPECT_TRUE(listener.replies.empty()) << bytes.name;
        network.close(connection);
        runAMoment(context);
    }
}
