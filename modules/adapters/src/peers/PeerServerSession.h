#pragma once

#include "peers/Http2Transport.h"
#include "peers/PeerAuthentication.h"

#include <oleander/adapters/peers/PeerIdentity.h>
#include <oleander/adapters/resources/ProcessMemory.h>
#include <oleander/ports/PeerNetwork.h>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace oleander {

class PeerServerSession;

/// Interface through which incoming sessions use the peer network.
class PeerServerOwner
{
public:
    virtual ~PeerServerOwner() = default;

    virtual const PeerIdentity &identity() const = 0;
    /// What messages that are being read are charged to; may be null.
    virtual const std::shared_ptr<ProcessMemory> &memory() const = 0;
    /// Returns the handler for requests; null if requests must be refused.
    virtual PeerHandler *handler() = 0;
    virtual void onServerAuthenticated(PeerServerSession &session) = 0;
    virtual void onServerRefused(PeerServerSession &session, const std::string &why) = 0;
    /// Called last, when the session has ended.
    virtual void onServerEnded(PeerServerSession &session, const std::string &why) = 0;
};

/// Incoming session that a peer opened: reads requests and writes the replies.
class PeerServerSession : public std::enable_shared_from_this<PeerServerSession>,
                          private Http2Listener
{
public:
    /// The owner must outlive the session or close() it.
    PeerServerSession(boost::asio::ip::tcp::socket socket, PeerServerOwner &owner);

    void start();
    /// Closes the session immediately. Handlers are notified that their requests are cancelled; the
    /// owner is not notified.
    void close();
    /// Accepts no new requests; the session ends when the current requests have been answered.
    void beginStop();
    void tick(TimePoint now);
    void resetSilence(TimePoint now) { m_transport->resetSilence(now); }
    /// Whether the other side has proven that it holds the fleet's key.
    [[nodiscard]] bool isAuthenticated() const { return m_isAuthenticated; }
    [[nodiscard]] std::size_t requests() const { return m_streams.size(); }
    /// Returns the peer's instance (if known) and its address.
    [[nodiscard]] std::string peerName() const;

private:
    class Responder;
    struct Stream
    {
        std::string path;
        std::string body;
        std::map<std::string, std::string, std::less<>> headers;
        std::weak_ptr<Responder> responder;
    };

    // Http2Listener
    void onStreamBegun(Http2StreamId stream) override;
    void onHeader(Http2StreamId stream, std::string_view name, std::string_view value) override;
    void onBody(Http2StreamId stream, std::string_view bytes) override;
    void onMessageEnd(Http2StreamId stream) override;
    void onHeadersWritten(Http2StreamId) override {}
    void onStreamEnded(Http2StreamId stream, std::uint32_t error) override;
    void onGoAway() override {}
    void onTransportEnded(const std::string &why) override;

    // Requests
    void onGreeting(Http2StreamId id, const Stream &stream);
    void onProof(Http2StreamId id, const Stream &stream);
    void onCall(Http2StreamId id, Stream &stream);
    void answer(Http2StreamId id, std::string_view status, std::string text);
    void refusePeer(Http2StreamId id, std::string_view status, const std::string &why);
    void sendReply(Http2StreamId id, const PeerReply &reply);
    [[nodiscard]] bool hasRoomFor(std::size_t bytes) const;
    void dropBody(Stream &stream);
    void cancelAll();

    std::shared_ptr<Http2Transport> m_transport;
    PeerServerOwner *m_owner;
    PeerGreeting m_greeting;
    std::unordered_map<Http2StreamId, Stream> m_streams;
    std::size_t m_bufferedBytes = 0;
    MemoryCharge m_charge;
    int m_unauthenticatedStreams = 0;
    TimePoint m_startedAt;
    std::string m_address;
    bool m_isAuthenticated = false;
    bool m_isRefused = false;
    bool m_isClosed = false;
};

} // namespace oleander
