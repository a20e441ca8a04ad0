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
    , m_views(std::move(parsers), m_settings.fleet)
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
        settleLater();
    };
    handlers.fillIn = [this](ViewExchange &message) { fillIn(message); };
    return handlers;
}

// Life

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
    const auto spread = static_cast<std::uint64_t>(m_settings.platform.startSpread.count());
    const Duration delay(static_cast<Duration::rep>(m_ports.random.below(spread + 1)));
    m_readsOpen = 2;
    m_firstReads =
        m_ports.timers.callAfter(delay, [this](const TimerTick &) { readFromPlatformOnce(); });
    askPeers(m_settings.seeds);
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
            --m_readsOpen;
            m_rolesChanged = true;
            settleLater();
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
        confirmAnew();
    }
    ++m_turn;
    m_rolesChanged |= expireEvidence(m_evidence, now());
    m_crashes.expire(now(), m_settings.gossip.crashMemory);
    std::erase_if(m_callers, [this](const auto &item) {
        return now() - item.second > m_settings.gossip.leavingMemory;
    });
    m_rolesChanged |= m_roles.takesTurns;
    compareInTurn();
    probeInTurn();
    settle();
}

void ControlCore::compareInTurn()
{
    if (m_roles.compared.empty())
        return;
    m_exchange.compare(m_roles.compared[m_turn % m_roles.compared.size()]);
}

/// Asks, each period, one of the peers with evidence against them whether it is back, or has been
/// started anew under the same id.
void ControlCore::probeInTurn()
{
    std::vector<const Instance *> avoided;
    for (const auto &[id, entry] : m_evidence.entries) {
        if (const Instance *peer = findPeer(id))
            avoided.push_back(peer);
    }
    if (avoided.empty())
        return;
    m_exchange.compare(*avoided[m_turn % avoided.size()]);
}

// Sections

ValueUse ControlCore::onPlatformValue(const std::string &name, PlatformValue value)
{
    Section section = makeSection(name, value.version, std::move(value.body));
    const SectionSummary summary = section.summary;
    const OfferResult result = offer(std::move(section));
    if (result == OfferResult::Old) {
        ++m_counters.sectionsOld;
        m_ports.events.record(EventId::ConfigurationOld, textOf(summary));
    }
    const bool isNews = result == OfferResult::Accepted || result == OfferResult::Refused;
    return isNews ? ValueUse::Seen : ValueUse::Stale;
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
        [this](const Section &checked, Reason &why) { return m_views.take(checked, why); }, reason);
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
    if (m_views.hasBaseSections() && !m_baseSince)
        m_baseSince = now();
    m_ports.events.record(acceptedEvent(summary.name), textOf(summary));
    m_hasNews = true;
    const bool isAboutRoles =
        !sections::serviceOf(summary.name) && summary.name != sections::config;
    m_rolesChanged |= isAboutRoles;
    settleLater();
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
    m_callers[request.from] = now();
    return m_exchange.answer(request, findPeer(request.from));
}

void ControlCore::onPeerMessage(const ViewExchange &message)
{
    noteWordOf(message.from, message.isStopping);
    noteCrashes(message.crashes);
    m_hasHeardFromPeer |= message.heldDigest != heldDigest(SectionStore{});
    if (message.platformAge == Duration::max())
        return;
    const TimePoint heardAt = now() - message.platformAge;
    if (!m_othersHeardPlatformAt || *m_othersHeardPlatformAt < heardAt)
        m_othersHeardPlatformAt = heardAt;
}

/// A peer's own word on whether it leaves goes before all else that is known of it.
void ControlCore::noteWordOf(const InstanceId &peer, bool isLeaving)
{
    const bool wasLeaving = evidenceOf(m_evidence, peer) == Evidence::Leaving;
    if (isLeaving)
        noteLeaving(m_evidence, peer, now() + m_settings.gossip.leavingMemory);
    else if (wasLeaving)
        m_evidence.entries.erase(peer);
    if (isLeaving == wasLeaving)
        return;
    m_rolesChanged = true;
    settleLater();
}

void ControlCore::notePeer(const InstanceId &peer, Evidence evidence)
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
    settleLater();
}

void ControlCore::spreadCrash(const CrashNotice &notice)
{
    if (m_crashes.note(notice, now(), m_settings.gossip.crashMemory))
        settleLater();
}

void ControlCore::noteCrashes(const std::vector<CrashNotice> &crashes)
{
    for (const CrashNotice &notice : crashes) {
        if (!m_crashes.note(notice, now(), m_settings.gossip.crashMemory))
            continue;
        settleLater();
        if (m_hooks.crashReported)
            m_hooks.crashReported(notice);
    }
}

void ControlCore::fillIn(ViewExchange &message) const
{
    message.isStopping = m_isStopping;
    if (const auto heardAt = platformHeardAt())
        message.platformAge = now() - *heardAt;
}

const Instance *ControlCore::findPeer(const InstanceId &id) const
{
    const auto &list = m_views.instances();
    if (!list || id == m_settings.self.id)
        return nullptr;
    const auto found = std::ranges::lower_bound(list->instances, id, {}, &Instance::id);
    return found == list->instances.end() || found->id != id ? nullptr : &*found;
}

std::optional<TimePoint> ControlCore::platformHeardAt() const
{
    return std::max(m_watcher.answeredAt(), m_othersHeardPlatformAt);
}

// Becoming ready

/// Asks peers for what they hold; the daemon is not ready before each has answered or failed.
void ControlCore::askPeers(const std::vector<Instance> &peers)
{
    const int round = ++m_askRound;
    m_asksOpen = 0;
    for (const Instance &peer : peers) {
        if (m_asksOpen >= m_settings.confirm.peersAsked)
            break;
        ++m_asksOpen;
        m_exchange.compare(peer, [this, round] {
            if (round == m_askRound)
                --m_asksOpen;
            settleLater();
        });
    }
}

/// After a pause of this process: what is held may be old, and calls that ended meanwhile say
/// nothing about peers.
void ControlCore::confirmAnew()
{
    m_rolesChanged |=
        std::erase_if(m_evidence.entries,
                      [](const auto &item) { return item.second.kind == Evidence::Unreachable; })
        > 0;
    updateRoles();
    askPeers(m_roles.neighbours);
}

ReadinessFacts ControlCore::readinessFacts() const
{
    ReadinessFacts facts;
    facts.isStopping = m_isStopping;
    facts.hasBaseSections = m_views.hasBaseSections();
    facts.missingPartitions = m_views.missingPartitions();
    facts.isAskingPeers = m_asksOpen > 0 || !m_hasAskedListed;
    facts.isFetching = m_exchange.isPulling();
    facts.hasPlatformReadEnded = m_readsOpen == 0;
    facts.hasPlatformAnswered = m_watcher.answeredAt().has_value();
    facts.hasPeerAnswered = m_hasHeardFromPeer;
    facts.wasReady = m_wasReady;
    facts.sinceStart = now() - m_startedAt;
    facts.sinceBaseSections = m_baseSince ? now() - *m_baseSince : Duration{};
    return facts;
}

void ControlCore::updateReadiness()
{
    m_notReadyReason = notReadyReason(readinessFacts(), m_settings.confirm);
    const bool isReady = m_notReadyReason.empty();
    if (isReady == m_isReady)
        return;
    m_isReady = isReady;
    if (isReady && !m_wasReady) {
        m_wasReady = true;
        m_ports.events.record(EventId::DaemonReady, "configuration confirmed");
        publish();
    }
    if (m_hooks.readyChanged)
        m_hooks.readyChanged(isReady);
}

// After events

void ControlCore::updateRoles()
{
    m_rolesChanged = false;
    const auto &list = m_views.instances();
    m_roles = {};
    if (list)
        m_roles = controlRoles(*list, m_views.sectionNames(), m_evidence, m_settings, m_turn / 2);
    else if (m_readsOpen == 0)
        m_roles.duties[std::string(sections::instances)] = m_settings.platform.watchWait;
    if (m_isStopping)
        m_roles.duties.clear();
    m_watcher.watchOnly(m_roles.duties);
    if (!list || m_hasAskedListed)
        return;
    m_hasAskedListed = true;
    askPeers(m_roles.neighbours);
}

void ControlCore::settleLater()
{
    if (m_isSettling)
        return;
    m_isSettling = true;
    m_ports.timers.post([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            settle();
    });
}

void ControlCore::settle()
{
    m_isSettling = false;
    if (m_rolesChanged)
        updateRoles();
    if (m_wasReady && (m_hasNews || leavingPeers() != m_publishedLeaving))
        publish();
    if (m_hasNews || m_crashes.hasPending())
        announce();
    m_hasNews = false;
    updateReadiness();
}

void ControlCore::publish()
{
    m_publishedLeaving = leavingPeers();
    if (m_hooks.viewPublished)
        m_hooks.viewPublished(m_views.build(m_evidence));
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
    const auto crashes = m_crashes.takePending(now());
    for (const Instance &peer : peersToTell())
        m_exchange.announce(peer, crashes);
}

std::vector<Instance> ControlCore::peersToTell() const
{
    std::vector<Instance> peers = m_roles.neighbours;
    if (!m_isStopping)
        return peers;
    for (const auto &[id, calledAt] : m_callers) {
        const Instance *caller = findPeer(id);
        if (caller && std::ranges::find(peers, id, &Instance::id) == peers.end())
            peers.push_back(*caller);
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
    if (const auto heardAt = platformHeardAt())
        status.platformAge = now() - *heardAt;
    status.sections = sectionStatus();
    for (const auto &[name, wait] : m_roles.duties)
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
