#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/ports/PeerMessage.h>

#include <functional>
#include <memory>
#include <optional>

namespace oleander {

/// What is known of a call to a peer that brought no reply.
enum class PeerProof {
    /// The reply is there.
    Replied,
    /// The peer or the transport proved that the peer's handler never saw the request.
    NotProcessed,
    /// Anything else.
    MaybeProcessed,
};

struct PeerOutcome
{
    PeerProof proof = PeerProof::MaybeProcessed;
    /// Set exactly when proof is Replied.
    std::optional<PeerReply> reply;
};

using PeerCallback = std::function<void(PeerOutcome)>;

/// How a handler answers one request. Dropping it unanswered ends the call as MaybeProcessed.
class PeerResponder
{
public:
    virtual ~PeerResponder() = default;

    virtual void reply(PeerReply reply) = 0;
    /// Ends the call as NotProcessed. Only allowed when nothing was done.
    virtual void refuse() = 0;
    /// Called when the peer cancels the call or is lost. At most once, never after reply().
    virtual void onCancel(std::function<void()> callback) = 0;
};

/// Takes requests of peers, on the thread of the PeerNetwork.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) = 0;
};

/// Calls between daemons: one session a pair, opened when needed.
class PeerNetwork
{
public:
    virtual ~PeerNetwork() = default;

    /// The callback is called exactly once, at the latest `timeLeft` from now, never inside call().
    virtual PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                            PeerCallback callback) = 0;
    /// The peer is told to stop; the callback is not called any more.
    virtual void cancel(PeerCallId call) = 0;
    /// Requests of peers go to this handler; until then they are refused.
    virtual void setHandler(PeerHandler *handler) = 0;
    /// Planned stop: peers are told that no new call is processed; calls under way go on.
    virtual void beginStop() = 0;
};

} // namespace oleander
