#pragma once

#include <oleander/adapters/peers/PeerIdentity.h>
#include <oleander/core/Reason.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/PeerNetwork.h>
#include <oleander/ports/TimerService.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// Open sessions of one peer network.
struct PeerNetworkStatistics
{
    /// Opened by this daemon for its calls.
    std::size_t outgoingSessions = 0;
    /// Opened by peers.
    std::size_t incomingSessions = 0;
    /// Requests of peers that are not answered yet.
    std::size_t incomingRequests = 0;
    std::uint64_t refusedSessions = 0;
};

/// Calls between daemons over HTTP/2 (nghttp2), a request a stream, messages as MessagePack.
///
/// The daemon that calls opens the session when it first has something to call, and closes it when
/// it was unused for a minute; replies travel on the same session. Both sides prove at the start
/// that they belong to the fleet and hold its key (HMAC-SHA-256); nothing is encrypted.
///
/// What proves that a call was not processed: it was never written, the connection could not be
/// opened, the peer reset the stream with REFUSED_STREAM, the peer's GOAWAY excludes the stream, or
/// the peer said that it could not read the message. A session that is silent while it owes
/// something is asked by a PING and closed without an answer; its calls end as MaybeProcessed.
///
/// Everything, callbacks and handler too, is on the thread that runs the context. Callbacks may
/// call back into the network but not destroy it. PostedPeerNetwork serves other threads. On
/// destruction all sessions are closed and no callback is called any more.
class Http2PeerNetwork final : public PeerNetwork
{
public:
    /// All arguments must outlive the network.
    Http2PeerNetwork(boost::asio::io_context &context, TimerService &timers, EventLog &log,
                     PeerIdentity identity);
    Http2PeerNetwork(const Http2PeerNetwork &) = delete;
    Http2PeerNetwork &operator=(const Http2PeerNetwork &) = delete;
    ~Http2PeerNetwork() override;

    // Listening
    /// Begins to accept peers on an IP number and port; port 0 lets the system choose. Returns the
    /// port.
    std::optional<std::uint16_t> listen(const std::string &address, Reason &reason);
    /// Calls once, after beginStop(), when the last request of a peer has been answered and its
    /// reply has left.
    void whenStopped(std::function<void()> callback);

    // PeerNetwork
    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override;
    void cancel(PeerCallId call) override;
    void setHandler(PeerHandler *handler) override;
    void beginStop() override;

    [[nodiscard]] PeerNetworkStatistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
