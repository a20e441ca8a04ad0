#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/decisions/control/EvidenceTable.h>
#include <oleander/node/ControlSettings.h>
#include <oleander/node/ControlStatus.h>
#include <oleander/node/SectionParsers.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/PeerNetwork.h>
#include <oleander/ports/PlatformReader.h>
#include <oleander/ports/RandomSource.h>
#include <oleander/ports/TimerService.h>

#include <functional>
#include <memory>

namespace oleander {

class ControlCore;

/// The control plane of one daemon: it keeps the published sections up to date and tracks the state
/// of its peers.
///
/// In each data centre a few daemons read the platform. All other daemons fetch changed sections
/// from peers, which announce a change immediately and compare digests every second. The version of
/// a section never decreases, and a section is only activated and passed on after it has been
/// validated. See docs/design/configuration-distribution.md and docs/design/membership.md.
///
/// Everything runs on the thread of the TimerService, PeerNetwork and PlatformReader. The owner
/// passes peer requests to this class: through PeerNetwork::setHandler() if the node is the only
/// handler, otherwise by calling onPeerRequest(). QueryNode uses the views that are published here.
class ControlNode final : public PeerHandler
{
public:
    /// Interfaces that the node uses; all must outlive it.
    struct Ports
    {
        TimerService &timers;
        PeerNetwork &network;
        PlatformReader &platform;
        RandomSource &random;
        EventLog &events;
    };

    /// Callbacks to the owner of the node. Each may be empty.
    struct Hooks
    {
        /// A new view was activated. Not called until the daemon has been ready for the first time.
        std::function<void(std::shared_ptr<const FleetView>)> viewPublished;
        /// The daemon became ready, or stopped being ready, to accept queries. Initially it is not
        /// ready.
        std::function<void(bool isReady)> readyChanged;
        /// A peer reported a server crash that this daemon did not know about.
        std::function<void(const CrashNotice &)> crashReported;
    };

    ControlNode(const Ports &ports, ControlSettings settings, SectionParsers parsers, Hooks hooks);
    ~ControlNode() override;

    // Lifecycle
    /// Starts to query peers and the platform. Must be called once.
    void start();
    /// Starts a planned shutdown: the daemon is no longer ready, notifies its peers and stops
    /// reading from the platform. It still answers peer requests. The owner calls
    /// PeerNetwork::beginStop() afterwards.
    void beginStop();

    // Events from the owner
    /// Records evidence about a peer from a call made outside this node, such as a forwarded query.
    void recordPeerEvidence(const InstanceId &peer, Evidence evidence);
    /// Distributes a crash notice to all daemons.
    void broadcastCrash(const CrashNotice &notice);

    // State
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] ControlStatus status() const;

    // PeerHandler
    /// Answers ViewExchange requests and refuses all others.
    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override;

private:
    std::unique_ptr<ControlCore> m_core;
};

} // namespace oleander
