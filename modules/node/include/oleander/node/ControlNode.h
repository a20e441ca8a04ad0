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

/// The control plane of one daemon: brings published sections into force and knows the peers.
///
/// A few daemons in each data centre read the platform; all others get changed sections from peers,
/// who announce a change at once and compare digests each second. Versions only rise; a section is
/// in force, and sent on, only after it was checked. See docs/design/configuration-distribution.md
/// and docs/design/membership.md.
///
/// Everything runs on the thread of its TimerService, PeerNetwork and PlatformReader. The host
/// hands requests of peers on: by PeerNetwork::setHandler() when the node is the only handler, else
/// by calling onPeerRequest(). Neighbour: QueryNode takes the views that are published here.
class ControlNode final : public PeerHandler
{
public:
    /// The ports that it works with; all must outlive it.
    struct Ports
    {
        TimerService &timers;
        PeerNetwork &network;
        PlatformReader &platform;
        RandomSource &random;
        EventLog &events;
    };

    /// What the host is told. Members may be empty.
    struct Hooks
    {
        /// A view came into force. Not called before the daemon was ready once.
        std::function<void(std::shared_ptr<const FleetView>)> viewPublished;
        /// Whether the daemon may take queries has changed. It begins as not ready.
        std::function<void(bool isReady)> readyChanged;
        /// A peer knows of a crash that this daemon did not know of.
        std::function<void(const CrashNotice &)> crashReported;
    };

    ControlNode(const Ports &ports, ControlSettings settings, SectionParsers parsers, Hooks hooks);
    ~ControlNode() override;

    // Life
    /// Begins to ask peers and the platform. Called once.
    void start();
    /// Begins a planned stop: not ready, peers are told, nothing is read from the platform any
    /// more. Requests of peers are still answered. The host calls PeerNetwork::beginStop()
    /// afterwards.
    void beginStop();

    // Events from the host
    /// Tells what a call to a peer outside of this node showed, such as a forwarded query.
    void notePeer(const InstanceId &peer, Evidence evidence);
    /// Passes a crash on to all daemons.
    void spreadCrash(const CrashNotice &notice);

    // State
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] ControlStatus status() const;

    // PeerHandler
    /// Answers ViewExchange; refuses anything else.
    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override;

private:
    std::unique_ptr<ControlCore> m_core;
};

} // namespace oleander
