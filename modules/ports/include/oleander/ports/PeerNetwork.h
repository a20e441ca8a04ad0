#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/ports/PeerMessage.h>

#include <functional>
#include <memory>
#include <optional>

namespace oleander {

/// How a call to a peer ended.
enum class PeerCallStatus {
    /// The peer replied.
    Replied,
    /// The peer's handler has certainly not received the request.
    NotProcessed,
    /// The request may have been processed.
    MaybeProcessed,
};

struct PeerOutcome
{
    PeerCallStatus callStatus = PeerCallStatus::MaybeProcessed;
    /// Set if and only if callStatus is Replied.
    std::optional<PeerReply> reply;
};

using PeerCallback = std::function<void(PeerOutcome)>;

/// Replies to one request. If it is destroyed without a reply, the call ends as MaybeProcessed.
class PeerResponder
{
public:
    virtual ~PeerResponder() = default;

    virtual void reply(PeerReply reply) = 0;
    /// Ends the call as NotProcessed. Only allowed when the request had no effect.
    virtual void refuse() = 0;
    /// Sets a callback for when the peer cancels the call or is lost. It is called at most once,
    /// and never after reply().
    virtual void onCancel(std::function<void()> callback) = 0;
};

/// Handles requests of peers, on the thread of the PeerNetwork.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) = 0;
};

/// Calls between daemons, over one session per pair that is opened on demand.
class PeerNetwork
{
public:
    virtual ~PeerNetwork() = default;

    /// Calls a peer. The callback is called exactly once, after `timeLeft` at the latest and never
    /// from within call().
    virtual PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                            PeerCallback callback) = 0;
    /// Cancels a call and tells the peer; the callback is not called.
    virtual void cancel(PeerCallId call) = 0;
    /// Sets the handler of incoming requests. Without a handler they are refused.
    virtual void setHandler(PeerHandler *handler) = 0;
    /// Starts a graceful stop: tells peers that no new calls are processed. Calls in progress
    /// continue.
    virtual void beginStop() = 0;
};

/// Tells a peer that is slow to reply from one that does not respond at all.
class PeerProber
{
public:
    virtual ~PeerProber() = default;

    /// Asks the peer for a sign of life on the session for its calls, which is opened if there is
    /// none. The callback is called once, after `timeout`, with whether anything was received from
    /// the peer since. A session that does not answer the probe later either is closed.
    virtual void probe(const Instance &peer, Duration timeout,
                       std::function<void(bool isResponsive)> callback) = 0;
};

} // namespace oleander
