#pragma once

#include "peers/Http2Transport.h"
#include "peers/PeerAuthentication.h"

#include <oleander/adapters/peers/PeerIdentity.h>
#include <oleander/core/FleetView.h>
#include <oleander/ports/PeerNetwork.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace oleander {

class PeerClientSession;

/// Receives the results of calls and the events of the session.
class PeerClientOwner
{
public:
    virtual ~PeerClientOwner() = default;

    virtual const PeerIdentity &identity() const = 0;
    virtual void onCallEnded(PeerCallId call, PeerOutcome outcome) = 0;
    virtual void onClientOpened(PeerClientSession &session) = 0;
    /// Called last, after all calls of the session have ended. `why` is empty if the end was
    /// planned; `isRefusal` is true if one side rejected the other during the handshake.
    virtual void onClientEnded(PeerClientSession &session, const std::string &why,
                               bool isRefusal) = 0;
};

/// Outgoing session for calls to one peer. Calls started before the session is open are queued.
class PeerClientSession : public std::enable_shared_from_this<PeerClientSession>,
                          private Http2Listener
{
public:
    /// The owner must outlive the session or close() it.
    PeerClientSession(boost::asio::io_context &context, Instance peer, PeerClientOwner &owner);

    // Opening and closing
    void open();
    /// Closes the session immediately; the owner is not notified any more.
    void close();
    /// Closes the session if it is unresponsive, idle or opens too slowly. Must be called
    /// periodically.
    void tick(TimePoint now);
    void resetSilence(TimePoint now);
    /// Asks the peer for a sign of life. Without effect while the session opens, since its
    /// handshake is one.
    void ping();
    [[nodiscard]] bool hasReceivedSince(TimePoint time) const;
    [[nodiscard]] const Instance &peer() const { return m_peer; }
    [[nodiscard]] bool wasOpen() const { return m_wasOpen; }
    /// Whether new calls may be started.
    [[nodiscard]] bool acceptsCalls() const;
    /// Accepts no new calls; the session ends when the current calls have ended.
    void drain();

    // Calls
    void startCall(PeerCallId call, PeerRequest request, TimePoint deadline);
    /// Ends a call without notifying the owner; returns whether the peer may have processed the
    /// call.
    PeerCallStatus abandonCall(PeerCallId call);

private:
    enum class State { Connecting, Greeting, Open, Draining, Closed };

    struct WaitingCall
    {
        PeerRequest request;
        TimePoint deadline;
    };

    /// A request in progress: the greeting, the proof or a call.
    struct Stream
    {
        /// Not set for the greeting and the proof.
        PeerCallId call;
        bool isWritten = false;
        bool isComplete = false;
        std::string status;
        std::string body;
        std::map<std::string, std::string, std::less<>> headers;
    };

    // Handshake
    void onConnected();
    void sendGreeting();
    void onGreetingAnswered(const Stream &stream);
    void sendProof();
    void onProofAnswered(const Stream &stream);
    void sendWaiting();
    void sendCall(PeerCallId call, WaitingCall waiting);

    // Http2Listener
    void onStreamBegun(Http2StreamId) override {}
    void onHeader(Http2StreamId stream, std::string_view name, std::string_view value) override;
    void onBody(Http2StreamId stream, std::string_view bytes) override;
    void onMessageEnd(Http2StreamId stream) override;
    void onHeadersWritten(Http2StreamId stream) override;
    void onStreamEnded(Http2StreamId stream, std::uint32_t error) override;
    void onGoAway() override;
    void onTransportEnded(const std::string &why) override;

    // Ending
    void endCall(const Stream &stream, std::uint32_t error);
    void endIfDrained();
    void endSession(const std::string &why, bool isRefusal);

    boost::asio::io_context &m_context;
    Instance m_peer;
    PeerClientOwner *m_owner;
    State m_state = State::Connecting;
    std::optional<boost::asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<Http2Transport> m_transport;
    PeerGreeting m_greeting;
    Http2StreamId m_greetingStream = 0;
    Http2StreamId m_proofStream = 0;
    /// Calls that wait for the session to open, in the order in which they were started.
    std::map<PeerCallId, WaitingCall> m_waiting;
    std::unordered_map<Http2StreamId, Stream> m_streams;
    std::unordered_map<PeerCallId, Http2StreamId> m_calls;
    TimePoint m_startedAt;
    TimePoint m_lastUsed;
    bool m_wasOpen = false;
};

} // namespace oleander
