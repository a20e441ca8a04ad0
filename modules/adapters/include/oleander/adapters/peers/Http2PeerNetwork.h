#pragma once

#include <oleander/adapters/peers/PeerIdentity.h>
#include <oleander/adapters/resources/ProcessMemory.h>
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
    /// Sessions that this daemon opened for its own calls.
    std::size_t outgoingSessions = 0;
    /// Sessions that peers opened to this daemon.
    std::size_t incomingSessions = 0;
    /// Requests from peers that have not been answered yet.
    std::size_t incomingRequests = 0;
    std::uint64_t refusedSessions = 0;
};

/// Carries calls between daemons over HTTP/2 (nghttp2), with one stream for each request and
/// messages encoded as MessagePack.
///
/// The calling daemon opens a session for its first call to a peer and closes the session after a
/// minute without calls. Replies use the same session. When a session opens, both sides
/// authenticate themselves as members of the fleet with its shared key (HMAC-SHA-256). Traffic is
/// not encrypted.
///
/// A call ends as NotProcessed if its request was never written, the connection could not be
/// opened, the peer reset the stream with REFUSED_STREAM, the peer's GOAWAY excludes the stream, or
/// the peer reported that it could not decode the message. If no data arrives on a session while a
/// reply is overdue, the network sends a PING and closes the session if the PING is not answered;
/// the calls of that session end as MaybeProcessed.
///
/// All functions, callbacks and the handler run on the thread that runs the context. Callbacks may
/// call functions of the network but must not destroy it. Other threads use WorkerPeerNetwork. The
/// destructor closes all sessions, and no callback runs after that.
class Http2PeerNetwork final : public PeerNetwork, public PeerProber
{
public:
    /// All arguments must outlive the network.
    Http2PeerNetwork(boost::asio::io_context &context, TimerService &timers, EventLog &log,
                     PeerIdentity identity);
    Http2PeerNetwork(const Http2PeerNetwork &) = delete;
    Http2PeerNetwork &operator=(const Http2PeerNetwork &) = delete;
    ~Http2PeerNetwork() override;

    /// Charges messages that are being read to `memory`. Must be called before listen().
    void setMemory(std::shared_ptr<ProcessMemory> memory);

    // Listening
    /// Starts to accept peers on an IP address and port; port 0 lets the system choose a free port.
    /// Returns the port.
    std::optional<std::uint16_t> listen(const std::string &address, Reason &reason);
    /// Sets a callback that runs once, after beginStop(), when all incoming requests have been
    /// answered, their replies have been sent and all incoming sessions have ended.
    void whenStopped(std::function<void()> callback);

    // PeerNetwork
    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override;
    void cancel(PeerCallId call) override;
    void setHandler(PeerHandler *handler) override;
    void beginStop() override;

    // PeerProber
    void probe(const Instance &peer, Duration timeout,
               std::function<void(bool isResponsive)> callback) override;

    [[nodiscard]] PeerNetworkStatistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
