#include "ControlCore.h"

#include "SectionNames.h"

#include <algorithm>

namespace oleander {

namespace {

EventId acceptedEvent(const std::string &section)
{
    if (section == sections::instances)
        return EventId::InstanceListChanged;
    if (sections::serviceOf(section))
        return EventId::PartitionMapChanged;
    return EventId::ConfigurationAccepted;
}

std::string textOf(const SectionSummary &summary)
{
    return summary.name + " version " + std::to_string(summary.version.value());
}

} // namespace

ControlCore::ControlCore(const ControlNode::Ports &ports, ControlSettings settings,
                         SectionParsers parsers, ControlNode::Hooks hooks)
    : m_ports(ports)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_viewBuilder(std::move(parsers), m_settings.fleet)
    , m_watcher(
          {ports.timers, ports.platform, ports.random, ports.events}, m_settings.platform,
          m_counters,
          [this](const std::string &name, PlatformValue value) {
              return onPlatformValue(name, std::move(value));
          },
          [this](const std::string &name) { return seenVersion(m_store, name); })
    , m_exchange({ports.timers, ports.network, m_settings, m_store, m_evidence, m_counters},
                 exchangeHandlers())
{
}

PeerExchange::Handlers ControlCore::exchangeHandlers()
{
    PeerExchange::Handlers handlers;
    handlers.onSections = [this](const std::vector<Section> &sections) {
        onPeerSections(sections);
    };
    handlers.onMessage = [this](const ViewExchange &message) { onPeerMessage(message); };
    handlers.onEvidence = [this] {
        m_rolesChanged = true;
        scheduleApplyChanges();
    };
    handlers.addDaemonState = [this](ViewExchange &message) { addDaemonState(message); };
    return handlers;
}

// Lifecycle

void ControlCore::start()
{
    m_startedAt = now();
    const auto period = static_cast<std::uint64_t>(m_settings.gossip.period.count());
    const Duration phase(static_cast<Duration::rep>(m_ports.random.below(period)));
    m_firstTick = m_ports.timers.callAfter(phase, [this](const TimerTick &tick) {
        m_ticks = m_ports.timers.callEvery(m_settings.gossip.period,
                                           [this](const TimerTick &next) { onTick(next); });
        onTick(tick);
    });
    const auto spread = static_cast<std::uint64_t>(m_settings.platform.maximumStartDelay.count());
    const Duration delay(static_cast<Duration::rep>(m_ports.random.below(spread + 1)));
    m_pendingFirstReads = 2;
    m_firstReads =
        m_ports.timers.callAfter(delay, [this](const TimerTick &) { readFromPlatformOnce(); });
    compareWithPeers(m_settings.seeds);
    updateReadiness();
}

void ControlCore::beginStop()
{
    m_isStopping = true;
    updateReadiness();
    announce();
    updateRoles();
}

void ControlCore::readFromPlatformOnce()
{
    for (const std::string_view name : {sections::instances, sections::config}) {
        m_watcher.readOnce(std::string(name), [this](bool) {
            --m_pendingFirstReads;
            m_rolesChanged = true;
            scheduleApplyChanges();
        });
    }
}

// Time

void ControlCore::onTick(const TimerTick &tick)
{
    if (tick.lateness() > m_settings.confirm.timerLatenessLimit) {
        ++m_counters.lateTimers;
        m_ports.events.record(EventId::LateTimer,
                              std::to_string(inMilliseconds(tick.lateness())) + " ms");
        reconfirmSections();
    }
    ++m_periodCount;
    m_rolesChanged |= expireEvidence(m_evidence, now());
    m_crashNotices.expire(now(), m_settings.gossip.crashMemory);
    std::erase_if(m_recentPeers, [this](const auto &item) {
        return now() - item.second > m_settings.gossip.leavingMemory;
    });
    m_rolesChanged |= m_roles.rotatesSections;
    compareWithNextPeer();
    contactNextAvoidedPeer();
    applyChanges();
}

void ControlCore::compareWithNextPeer()
{
    if (m_roles.comparisonPeers.empty())
        return;
    m_exchange.compare(m_roles.comparisonPeers[m_periodCount % m_roles.comparisonPeers.size()]);
}

/// In each period, contacts one of the peers that are considered unreachable or leaving, to find
/// out whether it is back or was restarted with the same id.
void ControlCore::contactNextAvoidedPeer()
{
    std::vector<const Instance *> avoided;
    for (const auto &[id, entry] : m_evidence.entries) {
        if (const Instance *peer = findPeer(id))
            avoided.push_back(peer);
    }
    if (avoided.empty())
        return;
    m_exchange.compare(*avoided[m_periodCount % avoided.size()]);
}

// Sections

ValueResult ControlCore::onPlatformValue(const std::string &name, PlatformValue value)
{
    Section section = makeSection(name, value.version, std::move(value.body));
    const SectionSummary summary = section.summary;
    const OfferResult result = offer(std::move(section));
    if (result == OfferResult::Old) {
        ++m_counters.sectionsOld;
        m_ports.events.record(EventId::ConfigurationOld, textOf(summary));
    }
    const bool isNewVersion = result == OfferResult::Accepted || result == OfferResult::Refused;
    return isNewVersion ? ValueResult::Seen : ValueResult::Stale;
}

void ControlCore::onPeerSections(const std::vector<Section> &sections)
{
    for (const Section &section : sections) {
        if (offer(section) == OfferResult::Known)
            ++m_counters.sectionsRepeated;
    }
}

OfferResult ControlCore::offer(Section section)
{
    const SectionSummary summary = section.summary;
    Reason reason;
    const OfferResult result = offerSection(
        m_store, std::move(section),
        [this](const Section &checked, Reason &why) { return m_viewBuilder.apply(checked, why); },
        reason);
    if (result == OfferResult::Accepted)
        onAccepted(summary);
    if (result == OfferResult::Refused)
        onRefused(summary, reason);
    return result;
}

void ControlCore::onAccepted(const SectionSummary &summary)
{
    ++m_counters.sectionsAccepted;
    m_acceptedAt[summary.name] = now();
    if (!m_store.refused.contains(summary.name))
        m_refusedReasons.erase(summary.name);
    if (m_viewBuilder.hasBaseSections() && !m_baseSectionsSince)
        m_baseSectionsSince = now();
    m_ports.events.record(acceptedEvent(summary.name), textOf(summary));
    m_hasNewSections = true;
    const bool affectsRoles =
        !sections::serviceOf(summary.name) && summary.name != sections::config;
    m_rolesChanged |= affectsRoles;
    scheduleApplyChanges();
}

void ControlCore::onRefused(const SectionSummary &summary, const Reason &reason)
{
    ++m_counters.sectionsRefused;
    m_refusedReasons[summary.name] = reason.text;
    m_ports.events.record(EventId::ConfigurationRefused, textOf(summary) + ": " + reason.text);
}

// Peers

ViewExchange ControlCore::answer(const ViewExchange &request)
{
    ++m_counters.peerRequests;
    m_recentPeers[request.from] = now();
    return m_exchange.answer(request, findPeer(request.from));
}

void ControlCore::onPeerMessage(const ViewExchange &message)
{
    noteLeavingState(message.from, message.isStopping);
    noteCrashes(message.crashes);
    m_hasPeerAnswered |= message.heldDigest != heldDigest(SectionStore{});
    if (message.platformAge == Duration::max())
        return;
    const TimePoint answeredAt = now() - message.platformAge;
    if (!m_peersReachedPlatformAt || *m_peersReachedPlatformAt < answeredAt)
        m_peersReachedPlatformAt = answeredAt;
}

/// What a peer itself says about leaving overrides all other evidence about it.
void ControlCore::noteLeavingState(const InstanceId &peer, bool isLeaving)
{
    const bool wasLeaving = evidenceOf(m_evidence, peer) == Evidence::Leaving;
    if (isLeaving)
        noteLeaving(m_evidence, peer, now() + m_settings.gossip.leavingMemory);
    else if (wasLeaving)
        m_evidence.entries.erase(peer);
    if (isLeaving == wasLeaving)
        return;
    m_rolesChanged = true;
    scheduleApplyChanges();
}

void ControlCore::recordPeerEvidence(const InstanceId &peer, Evidence evidence)
{
    const Evidence before = evidenceOf(m_evidence, peer);
    if (evidence == Evidence::None)
        noteAnswered(m_evidence, peer);
    if (evidence == Evidence::Unreachable)
        noteUnreachable(m_evidence, peer, now() + m_settings.gossip.unreachableMemory);
    if (evidence == Evidence::Leaving)
        noteLeaving(m_evidence, peer, now() + m_settings.gossip.leavingMemory);
    if (evidenceOf(m_evidence, peer) == before)
        return;
    m_rolesChanged = true;
    scheduleApplyChanges();
}

void ControlCore::broadcastCrash(const CrashNotice &notice)
{
    if (m_crashNotices.add(notice, now(), m_settings.gossip.crashMemory))
        scheduleApplyChanges();
}

void ControlCore::noteCrashes(const std::vector<CrashNotice> &crashes)
{
    for (const CrashNotice &notice : crashes) {
        if (!m_crashNotices.add(notice, now(), m_settings.gossip.crashMemory))
            continue;
        scheduleApplyChanges();
        if (m_hooks.crashReported)
            m_hooks.crashReported(notice);
    }
}

void ControlCore::addDaemonState(ViewExchange &message) const
{
    message.isStopping = m_isStopping;
    if (const auto answeredAt = platformAnsweredAt())
        message.platformAge = now() - *answeredAt;
}

const Instance *ControlCore::findPeer(const InstanceId &id) const
{
    const auto &list = m_viewBuilder.instances();
    if (!list || id == m_settings.self.id)
        return nullptr;
    const auto found = std::ranges::lower_bound(list->instances, id, {}, &Instance::id);
    return found == list->instances.end() || found->id != id ? nullptr : &*found;
}

std::optional<TimePoint> ControlCore::platformAnsweredAt() const
{
    return std::max(m_watcher.answeredAt(), m_peersReachedPlatformAt);
}

// Readiness

/// Compares sections with the given peers. The daemon is not ready before each has answered or
/// failed.
void ControlCore::compareWithPeers(const std::vector<Instance> &peers)
{
    const int round = ++m_confirmRound;
    m_pendingPeerAnswers = 0;
    for (const Instance &peer : peers) {
        if (m_pendingPeerAnswers >= m_settings.confirm.peersAsked)
            break;
        ++m_pendingPeerAnswers;
        m_exchange.compare(peer, [this, round] {
            if (round == m_confirmRound)
                --m_pendingPeerAnswers;
            scheduleApplyChanges();
        });
    }
}

/// Confirms the held sections again after a pause of this process: they may be outdated, and calls
/// that failed during the pause say nothing about the peers.
void ControlCore::reconfirmSections()
{
    m_rolesChanged |=
        std::erase_if(m_evidence.entries,
                      [](const auto &item) { return item.second.kind == Evidence::Unreachable; })
        > 0;
    updateRoles();
    compareWithPeers(m_roles.neighbours);
}

ReadinessFacts ControlCore::readinessFacts() const
{
    ReadinessFacts facts;
    facts.isStopping = m_isStopping;
    facts.hasBaseSections = m_viewBuilder.hasBaseSections();
    facts.missingPartitions = m_viewBuilder.missingPartitions();
    facts.isAskingPeers = m_pendingPeerAnswers > 0 || !m_hasAskedListedPeers;
    facts.isFetching = m_exchange.isPulling();
    facts.hasPlatformReadEnded = m_pendingFirstReads == 0;
    facts.hasPlatformAnswered = m_watcher.answeredAt().has_value();
    facts.hasPeerAnswered = m_hasPeerAnswered;
    facts.wasReady = m_hasBeenReady;
    facts.sinceStart = now() - m_startedAt;
    facts.sinceBaseSections = m_baseSectionsSince ? now() - *m_baseSectionsSince : Duration{};
    return facts;
}

void ControlCore::updateReadiness()
{
    m_notReadyReason = notReadyReason(readinessFacts(), m_settings.confirm);
    const bool isReady = m_notReadyReason.empty();
    if (isReady == m_isReady)
        return;
    m_isReady = isReady;
    if (isReady && !m_hasBeenReady) {
        m_hasBeenReady = true;
        m_ports.events.record(EventId::DaemonReady, "configuration confirmed");
        publish();
    }
    if (m_hooks.readyChanged)
        m_hooks.readyChanged(isReady);
}

// Processing of changes

void ControlCore::updateRoles()
{
    m_rolesChanged = false;
    const auto &list = m_viewBuilder.instances();
    m_roles = {};
    if (list)
        m_roles = controlRoles(*list, m_viewBuilder.sectionNames(), m_evidence, m_settings,
                               m_periodCount / 2);
    else if (m_pendingFirstReads == 0)
        m_roles.sectionsToRead[std::string(sections::instances)] = m_settings.platform.watchWait;
    if (m_isStopping)
        m_roles.sectionsToRead.clear();
    m_watcher.setWatchedKeys(m_roles.sectionsToRead);
    if (!list || m_hasAskedListedPeers)
        return;
    m_hasAskedListedPeers = true;
    compareWithPeers(m_roles.neighbours);
}

void ControlCore::scheduleApplyChanges()
{
    if (m_isApplyScheduled)
        return;
    m_isApplyScheduled = true;
    m_ports.timers.post([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            applyChanges();
    });
}

void ControlCore::applyChanges()
{
    m_isApplyScheduled = false;
    if (m_rolesChanged)
        updateRoles();
    if (m_hasBeenReady && (m_hasNewSections || leavingPeers() != m_publishedLeaving))
        publish();
    if (m_hasNewSections || m_crashNotices.hasPending())
        announce();
    m_hasNewSections = false;
    updateReadiness();
}

void ControlCore::publish()
{
    m_publishedLeaving = leavingPeers();
    if (m_hooks.viewPublished)
        m_hooks.viewPublished(m_viewBuilder.build(m_evidence));
}

std::vector<InstanceId> ControlCore::leavingPeers() const
{
    std::vector<InstanceId> leaving;
    for (const auto &[id, entry] : m_evidence.entries) {
        if (entry.kind == Evidence::Leaving)
            leaving.push_back(id);
    }
    return leaving;
}

void ControlCore::announce()
{
    const auto crashes = m_crashNotices.takePending(now());
    for (const Instance &peer : peersToNotify())
        m_exchange.announce(peer, crashes);
}

std::vector<Instance> ControlCore::peersToNotify() const
{
    std::vector<Instance> peers = m_roles.neighbours;
    if (!m_isStopping)
        return peers;
    for (const auto &[id, calledAt] : m_recentPeers) {
        const Instance *peer = findPeer(id);
        if (peer && std::ranges::find(peers, id, &Instance::id) == peers.end())
            peers.push_back(*peer);
    }
    return peers;
}

// State

std::vector<SectionStatus> ControlCore::sectionStatus() const
{
    std::vector<SectionStatus> items;
    for (const auto &[name, section] : m_store.held)
        items.push_back({section->summary, now() - m_acceptedAt.at(name), std::nullopt, {}});
    for (const auto &[name, refused] : m_store.refused) {
        auto item = std::ranges::find_if(items, [&name = name](const SectionStatus &status) {
            return status.summary.name == name;
        });
        if (item == items.end())
            item = items.insert(item, {{name, SectionVersion{}, 0}, {}, std::nullopt, {}});
        item->refusedVersion = refused.version;
        item->refusedReason = m_refusedReasons.at(name);
    }
    return items;
}

ControlStatus ControlCore::status() const
{
    ControlStatus status;
    status.isReady = m_isReady;
    status.notReadyReason = m_notReadyReason;
    status.isStopping = m_isStopping;
    status.isPlatformReachable = m_watcher.isReachable();
    if (const auto answeredAt = platformAnsweredAt())
        status.platformAge = now() - *answeredAt;
    status.sections = sectionStatus();
    for (const auto &[name, wait] : m_roles.sectionsToRead)
        status.readerOf.push_back(name);
    for (const Instance &peer : m_roles.neighbours)
        status.neighbours.push_back(peer.id);
    status.leaving = leavingPeers();
    for (const auto &[id, entry] : m_evidence.entries) {
        if (entry.kind == Evidence::Unreachable)
            status.unreachable.push_back(id);
    }
    status.counters = m_counters;
    return status;
}

} // namespace oleander
