#pragma once

#include "ControlRoles.h"
#include "CrashSpread.h"
#include "PeerExchange.h"
#include "PlatformWatcher.h"
#include "ViewBuilder.h"

#include <oleander/node/ControlNode.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// What ControlNode does; see there. It joins the parts: PlatformWatcher brings values from the
/// platform, PeerExchange from peers, SectionStore decides which of them are newer, ViewBuilder
/// checks them and makes the view, controlRoles() says who reads and who talks to whom.
class ControlCore
{
public:
    ControlCore(const ControlNode::Ports &ports, ControlSettings settings, SectionParsers parsers,
                ControlNode::Hooks hooks);

    // As in ControlNode
    void start();
    void beginStop();
    void notePeer(const InstanceId &peer, Evidence evidence);
    void spreadCrash(const CrashNotice &notice);
    [[nodiscard]] bool isReady() const { return m_isReady; }
    [[nodiscard]] ControlStatus status() const;
    /// The reply to a peer's message.
    ViewExchange answer(const ViewExchange &request);

private:
    [[nodiscard]] std::vector<SectionStatus> sectionStatus() const;

    // Time
    void onTick(const TimerTick &tick);
    void compareInTurn();
    void probeInTurn();
    [[nodiscard]] TimePoint now() const { return m_ports.timers.now(); }

    // Sections
    ValueUse onPlatformValue(const std::string &name, PlatformValue value);
    void onPeerSections(const std::vector<Section> &sections);
    OfferResult offer(Section section);
    void onAccepted(const SectionSummary &summary);
    void onRefused(const SectionSummary &summary, const Reason &reason);

    // Peers
    void onPeerMessage(const ViewExchange &message);
    void noteWordOf(const InstanceId &peer, bool isLeaving);
    void noteCrashes(const std::vector<CrashNotice> &crashes);
    void fillIn(ViewExchange &message) const;
    [[nodiscard]] const Instance *findPeer(const InstanceId &id) const;
    [[nodiscard]] std::optional<TimePoint> platformHeardAt() const;

    // Becoming ready
    void readFromPlatformOnce();
    void askPeers(const std::vector<Instance> &peers);
    void confirmAnew();
    [[nodiscard]] ReadinessFacts readinessFacts() const;
    void updateReadiness();

    // After events
    void updateRoles();
    /// Publishes, announces and re-evaluates once, after the event that is being handled.
    void settleLater();
    void settle();
    void publish();
    void announce();
    [[nodiscard]] std::vector<Instance> peersToTell() const;
    [[nodiscard]] std::vector<InstanceId> leavingPeers() const;

    PeerExchange::Handlers exchangeHandlers();

    ControlNode::Ports m_ports;
    const ControlSettings m_settings;
    ControlNode::Hooks m_hooks;
    ControlCounters m_counters;
    SectionStore m_store;
    PeerEvidence m_evidence;
    ViewBuilder m_views;
    CrashSpread m_crashes;
    PlatformWatcher m_watcher;
    PeerExchange m_exchange;
    ControlRoles m_roles;
    Subscription m_firstTick;
    Subscription m_ticks;
    Subscription m_firstReads;

    std::map<std::string, TimePoint> m_acceptedAt;
    std::map<std::string, std::string> m_refusedReasons;
    /// Peers that called lately: they compare with this daemon without being its neighbours.
    std::map<InstanceId, TimePoint> m_callers;
    std::vector<InstanceId> m_publishedLeaving;
    std::optional<TimePoint> m_othersHeardPlatformAt;
    std::size_t m_turn = 0;

    bool m_isStopping = false;
    bool m_hasNews = false;
    bool m_rolesChanged = false;
    bool m_isSettling = false;

    bool m_isReady = false;
    bool m_wasReady = false;
    std::string m_notReadyReason = "not started";
    TimePoint m_startedAt;
    std::optional<TimePoint> m_baseSince;
    int m_readsOpen = 0;
    /// Whether any peer spoke that holds sections itself.
    bool m_hasHeardFromPeer = false;
    bool m_hasAskedListed = false;
    /// Comparisons of the current round of asking; a new round makes answers to older ones void.
    int m_askRound = 0;
    int m_asksOpen = 0;
    /// A posted task that runs after the end of this object finds it gone.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace oleander
