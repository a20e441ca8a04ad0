#include "concurrency/Listening.h"
#include "peers/Http2Transport.h"
#include "peers/PeerAuthentication.h"
#include "peers/PeerFixture.h"
#include "peers/PeerProtocol.h"

#include <oleander/adapters/peers/PeerCodec.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace oleander;

namespace {

/// An HTTP/2 client without authentication that can send arbitrary requests. Runs on the test's
/// thread.
class UnauthenticatedClient : private Http2Listener
{
public:
    explicit UnauthenticatedClient(const PeerDaemon &daemon)
    {
        Reason reason;
        boost::asio::ip::tcp::socket socket(m_context);
        socket.connect(*endpointOf(daemon.instance().peerAddress, reason));
        m_transport = std::make_shared<Http2Transport>(
            std::move(socket), Http2Transport::Role::Client, static_cast<Http2Listener &>(*this));
        m_transport->start();
    }
    ~UnauthenticatedClient() override { m_transport->close(); }

    void send(std::string_view path, const Http2Headers &more, std::string body = {})
    {
        Http2Headers headers{{protocol::methodHeader, protocol::method},
                             {protocol::schemeHeader, protocol::scheme},
                             {protocol::authorityHeader, "x"},
                             {protocol::pathHeader, path}};
        headers.insert(headers.end(), more.begin(), more.end());
        m_transport->submitRequest(headers, std::move(body));
        ++m_sent;
    }

    /// Waits until every stream has ended or the connection has.
    void finish()
    {
        while (!hasEnded && ended.size() < m_sent)
            m_context.run_one();
    }

    std::string status;
    std::string text;
    std::vector<std::uint32_t> ended;
    bool hasEnded = false;

private:
    void onStreamBegun(Http2StreamId) override {}
    void onHeader(Http2StreamId, std::string_view name, std::string_view value) override
    {
        if (name == protocol::statusHeader)
            status = value;
    }
    void onBody(Http2StreamId, std::string_view bytes) override { text += bytes; }
    void onMessageEnd(Http2StreamId) override {}
    void onHeadersWritten(Http2StreamId) override {}
    void onStreamEnded(Http2StreamId, std::uint32_t error) override { ended.push_back(error); }
    void onGoAway() override {}
    void onTransportEnded(const std::string &) override { hasEnded = true; }

    boost::asio::io_context m_context;
    std::shared_ptr<Http2Transport> m_transport;
    std::size_t m_sent = 0;
};

} // namespace

TEST(PeerServerSession, UnknownVersionIsRefusedWithAReason)
{
    PeerDaemon daemon("daemon");
    UnauthenticatedClient stranger(daemon);
    stranger.send(protocol::greetingPath,
                  {{protocol::versionHeader, "9"}, {protocol::fleetHeader, "fleet"}});
    stranger.finish();
    EXPECT_EQ(stranger.status, "400");
    EXPECT_EQ(stranger.text, "protocol version '9' is not spoken here, only '1'");
}

TEST(PeerServerSession, CallWithoutProofIsRefused)
{
    PeerDaemon daemon("daemon");
    UnauthenticatedClient stranger(daemon);
    stranger.send(protocol::callPath, {}, encodePeerRequest(queryNamed("a")));
    stranger.finish();
    EXPECT_EQ(stranger.ended, std::vector<std::uint32_t>{NGHTTP2_REFUSED_STREAM});
    EXPECT_EQ(daemon.run([&] { return daemon.handler.requests; }), 0);
}

TEST(PeerServerSession, ProofWithoutGreetingIsRefused)
{
    PeerDaemon daemon("daemon");
    UnauthenticatedClient stranger(daemon);
    PeerGreeting nothing;
    const std::string proof = makePeerProof(PeerSide::Client, nothing, "key");
    stranger.send(protocol::proofPath, {{protocol::proofHeader, proof}});
    stranger.finish();
    EXPECT_EQ(stranger.status, "403");
}

TEST(PeerServerSession, UnauthenticatedClientMayOpenTwoStreams)
{
    PeerDaemon daemon("daemon");
    UnauthenticatedClient stranger(daemon);
    for (int count = 0; count < 5; ++count)
        stranger.send("/x", {});
    stranger.finish();
    EXPECT_EQ(std::ranges::count(stranger.ended, NGHTTP2_REFUSED_STREAM), 3);
}

TEST(PeerProof, DependsOnEachPart)
{
    const PeerGreeting greeting{FleetId("f"), InstanceId("c"), InstanceId("s"), "1", "2"};
    const std::string proof = makePeerProof(PeerSide::Client, greeting, "key");
    EXPECT_TRUE(isSameProof(proof, makePeerProof(PeerSide::Client, greeting, "key")));
    EXPECT_FALSE(isSameProof(proof, makePeerProof(PeerSide::Server, greeting, "key")));
    EXPECT_FALSE(isSameProof(proof, makePeerProof(PeerSide::Client, greeting, "other")));
    PeerGreeting moved = greeting;
    moved.clientNonce = "12";
    moved.serverNonce = "";
    EXPECT_FALSE(isSameProof(proof, makePeerProof(PeerSide::Client, moved, "key")));
    EXPECT_TRUE(isPeerNonce(makePeerNonce()));
    EXPECT_NE(makePeerNonce(), makePeerNonce());
}
