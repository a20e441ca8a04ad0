#pragma once

#include "ControlRoles.h"
#include "CrashNoticeRelay.h"
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

/// Implementation of ControlNode. It connects the parts of the control plane: PlatformWatcher reads
/// values from the platform, PeerExchange exchanges them with peers, SectionStore decides which of
/// them are newer, ViewBuilder validates them and builds the view, and controlRoles() selects the
/// sections that this daemon reads and the peers that it contacts.
class ControlCore
{
public:
    ControlCore(const ControlNode::Ports &ports, ControlSettings settings, SectionParsers parsers,
                ControlNode::Hooks hooks);

    // Interface of ControlNode
    void start();
    void beginStop();
    void recordPeerEvidence(const InstanceId &peer, Evidence evidence);
    void broadcastCrash(const CrashNotice &notice);
    [[nodiscard]] bool isReady() const { return m_isReady; }
    [[nodiscard]] ControlStatus status() const;
    /// The reply to a peer's message.
    ViewExchange answer(const ViewExchange &request);

private:
    [[nodiscard]] std::vector<SectionStatus> sectionStatus() const;

    // Time
    void onTick(const TimerTick &tick);
    void compareWithNextPeer();
    void contactNextAvoidedPeer();
    [[nodiscard]] TimePoint now() const { return m_ports.timers.now(); }

    // Sections
    ValueResult onPlatformValue(const std::string &name, PlatformValue value);
    void onPeerSections(const std::vector<Section> &sections);
    OfferResult offer(Section section);
    void onAccepted(const SectionSummary &summary);
    void onRefused(const SectionSummary &summary, const Reason &reason);

    // Peers
    void onPeerMessage(const ViewExchange &message);
    void noteLeavingState(const InstanceId &peer, bool isLeaving);
    void noteCrashes(const std::vector<CrashNotice> &crashes);
    void addDaemonState(ViewExchange &message) const;
    [[nodiscard]] const Instance *findPeer(const InstanceId &id) const;
    [[nodiscard]] std::optional<TimePoint> platformAnsweredAt() const;

    // Readiness
    void readFromPlatformOnce();
    void compareWithPeers(const std::vector<Instance> &peers);
    void reconfirmSections();
    [[nodiscard]] ReadinessFacts readinessFacts() const;
    void updateReadiness();

    // Processing of changes
    void updateRoles();
    /// Schedules one call of applyChanges() after the current event has been handled.
    void scheduleApplyChanges();
    void applyChanges();
    void publish();
    void announce();
    [[nodiscard]] std::vector<Instance> peersToNotify() const;
    [[nodiscard]] std::vector<InstanceId> leavingPeers() const;

    PeerExchange::Handlers exchangeHandlers();

    ControlNode::Ports m_ports;
    const ControlSettings m_settings;
    ControlNode::Hooks m_hooks;
    ControlCounters m_counters;
    SectionStore m_store;
    PeerEvidence m_evidence;
    ViewBuilder m_viewBuilder;
    CrashNoticeRelay m_crashNotices;
    PlatformWatcher m_watcher;
    PeerExchange m_exchange;
    ControlRoles m_roles;
    Subscription m_firstTick;
    Subscription m_ticks;
    Subscription m_firstReads;

    std::map<std::string, TimePoint> m_acceptedAt;
    std::map<std::string, std::string> m_refusedReasons;
    /// Peers that called recently. They may compare with this daemon without being its neighbours.
    std::map<InstanceId, TimePoint> m_recentPeers;
    std::vector<InstanceId> m_publishedLeaving;
    std::optional<TimePoint> m_peersReachedPlatformAt;
    std::size_t m_periodCount = 0;

    bool m_isStopping = false;
    bool m_hasNewSections = false;
    bool m_rolesChanged = false;
    bool m_isApplyScheduled = false;

    bool m_isReady = false;
    bool m_hasBeenReady = false;
    std::string m_notReadyReason = "not started";
    TimePoint m_startedAt;
    std::optional<TimePoint> m_baseSectionsSince;
    int m_pendingFirstReads = 0;
    /// Whether a message has arrived from a peer that holds sections.
    bool m_hasPeerAnswered = false;
    bool m_hasAskedListedPeers = false;
    /// Number of the current confirmation round; answers to earlier rounds are ignored.
    int m_confirmRound = 0;
    /// Comparisons of the current round that have not ended yet.
    int m_pendingPeerAnswers = 0;
    /// Expires with this object, so that posted tasks that run later can detect it.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace oleander
