#include "coordinator/CoordinatorSet.h"

#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/request/Plan.h>
#include <oleander/settings/PolicyFor.h>

namespace oleander {

namespace {

/// Other instances may act on the former list of instances for this long.
constexpr Duration listPropagation = seconds(3);
/// How many changes of a service's coordinators are remembered.
constexpr std::size_t rememberedEpochs = 8;
/// How long a peer has to take a crash notice.
constexpr Duration noticeTimeout = milliseconds(500);

bool isFirst(const std::vector<InstanceId> &coordinators, std::uint64_t key, const InstanceId &self)
{
    const auto order = coordinatorOrder(coordinators, key);
    return !order.empty() && order.front() == self;
}

} // namespace

CoordinatorSet::CoordinatorSet(QueryNode::Ports ports, QueryNode::Identity identity)
    : m_ports(ports)
    , m_identity(std::move(identity))
{
}

CoordinatorSet::~CoordinatorSet() = default;

CoordinatorSet::Handle CoordinatorSet::submit(PeerQuery message, std::function<void(Answer)> done)
{
    followView();
    if (!m_view) {
        done(refusal(ErrorKind::NotReady, "no view is confirmed yet"));
        return {};
    }
    Reason reason;
    const auto map = partitionMapFor(message.query, *m_view, reason);
    if (!map) {
        done(refusal(reason.kind, reason.text));
        return {};
    }
    Answer refused;
    if (!mayServe(message, map->service, refused)) {
        done(std::move(refused));
        return {};
    }
    const Subject subject{map->backend, map->service, message.query.caller, m_identity.dataCentre,
                          m_identity.instance};
    const Policy policy = policyFor(*m_view->policies, subject);
    Entry &entry = m_entries.at(map->service);
    const ActiveQueryId id = entry.coordinator->submit(std::move(message.query), policy,
                                                       message.timeLeft, std::move(done));
    return {map->service, id};
}

void CoordinatorSet::abandon(const Handle &handle)
{
    const auto found = m_entries.find(handle.service);
    if (found != m_entries.end())
        found->second.coordinator->abandon(handle.query);
}

void CoordinatorSet::tick(TimePoint now)
{
    followView();
    for (auto &[service, entry] : m_entries) {
        if (entry.coordinator->activeQueries() > 0)
            entry.coordinator->tick(now);
    }
}

void CoordinatorSet::beat(TimePoint now, bool isAfterPause)
{
    followView();
    for (auto &[service, entry] : m_entries)
        entry.coordinator->beat(now, isAfterPause);
    endUnserved();
}

void CoordinatorSet::onCrashNotices(const std::vector<CrashNotice> &notices)
{
    for (const CrashNotice &notice : notices) {
        const auto found = m_entries.find(notice.service);
        if (found != m_entries.end())
            found->second.coordinator->onCrashNotice(notice.fingerprint, notice.server, notice.age);
    }
}

bool CoordinatorSet::ownsService(const ServiceId &service) const
{
    const auto hash = fingerprintOf(service, {}).value();
    return static_cast<int>(hash % static_cast<std::uint64_t>(m_identity.workers))
           == m_identity.worker;
}

std::size_t CoordinatorSet::activeQueries() const
{
    std::size_t count = 0;
    for (const auto &[service, entry] : m_entries)
        count += entry.coordinator->activeQueries();
    return count;
}

void CoordinatorSet::fillStatus(QueryNodeStatus &status) const
{
    for (const auto &[service, entry] : m_entries) {
        status.coordinated.push_back(service);
        status.connections += entry.coordinator->connections();
        status.waitingSubRequests += entry.coordinator->waiting();
        status.suspicions += entry.coordinator->suspicions();
    }
    status.activeQueries = activeQueries();
}

void CoordinatorSet::followView()
{
    auto view = m_ports.views.view();
    if (!view || view == m_view)
        return;
    m_view = std::move(view);
    for (auto &[service, entry] : m_entries)
        entry.isServing = false;
    for (const auto &[service, map] : m_view->partitions) {
        if (ownsService(service))
            followService(map);
    }
}

void CoordinatorSet::followService(const std::shared_ptr<const PartitionMap> &map)
{
    if (!isCoordinator(map->service, *m_view->instances, coordinatorCount(*m_view, *map),
                       m_identity.instance)) {
        return;
    }
    Entry &entry = entryFor(map->service);
    entry.isServing = true;
    entry.coordinator->adopt(map, servicePolicy(*m_view, *map), m_view->policies->version);
    forgetEpochsBeforeGap(entry);
    const auto &coordinators = m_coordinators.coordinatorsOf(m_view, *map);
    if (!entry.epochs.empty() && entry.epochs.back().coordinators == coordinators)
        return;
    entry.epochs.push_back({m_ports.timers.wallNow() + listPropagation, coordinators});
    if (entry.epochs.size() > rememberedEpochs)
        entry.epochs.pop_front();
}

void CoordinatorSet::forgetEpochsBeforeGap(Entry &entry)
{
    const SectionVersion list = m_view->instances->version;
    if (list.value() > entry.listVersion.value() + 1)
        entry.epochs.clear();
    entry.listVersion = list;
}

void CoordinatorSet::endUnserved()
{
    std::erase_if(m_entries, [](const auto &item) {
        return !item.second.isServing && item.second.coordinator->activeQueries() == 0;
    });
}

CoordinatorSet::Entry &CoordinatorSet::entryFor(const ServiceId &service)
{
    Entry &entry = m_entries[service];
    if (entry.coordinator)
        return entry;
    ServiceCoordinator::Context context{
        m_ports.timers,
        m_ports.servers,
        m_ports.random,
        m_ports.log,
        m_ports.observer,
        m_identity.instance,
        [this, service](const CrashEvidence &evidence) { spreadCrash(service, evidence); }};
    entry.coordinator = std::make_unique<ServiceCoordinator>(
        std::move(context), service, m_ports.timers.wallNow() + listPropagation);
    return entry;
}

bool CoordinatorSet::mayServe(const PeerQuery &message, const ServiceId &service, Answer &refused)
{
    const auto found = m_entries.find(service);
    if (found == m_entries.end() || !found->second.isServing) {
        refused = refusal(ErrorKind::NotCoordinator,
                          "by instance list " + std::to_string(m_view->instances->version.value()));
        return false;
    }
    if (message.query.isIdempotent)
        return true;
    return mayServeOnce(message, found->second, service, refused);
}

bool CoordinatorSet::mayServeOnce(const PeerQuery &message, Entry &entry, const ServiceId &service,
                                  Answer &refused)
{
    // Only the first coordinator by an agreed list remembers earlier requests with this id.
    const std::uint64_t key = routingKey(message.query, service);
    const bool isAgreed = message.instanceList == m_view->instances->version;
    if (!isAgreed || !isFirst(entry.epochs.back().coordinators, key, m_identity.instance)) {
        refused =
            refusal(ErrorKind::NotCoordinator, "not first for this request by an agreed list");
        return false;
    }
    WallTime since = entry.epochs.back().since;
    for (auto epoch = entry.epochs.rbegin(); epoch != entry.epochs.rend(); ++epoch) {
        if (!isFirst(epoch->coordinators, key, m_identity.instance))
            break;
        since = epoch->since;
    }
    entry.coordinator->startRequestMemoryAt(since);
    return true;
}

void CoordinatorSet::spreadCrash(const ServiceId &service, const CrashEvidence &evidence)
{
    if (!m_view)
        return;
    const auto map = m_view->partitions.find(service);
    if (map == m_view->partitions.end())
        return;
    ViewExchange notice;
    notice.from = m_identity.instance;
    notice.statesHeld = false;
    notice.crashes.push_back(CrashNotice{service, evidence.fingerprint, evidence.server, {}});
    for (const InstanceId &id : m_coordinators.coordinatorsOf(m_view, *map->second)) {
        const Instance *peer = findInstance(*m_view->instances, id);
        if (!peer || id == m_identity.instance)
            continue;
        m_ports.peers.call(*peer, notice, noticeTimeout, [](const PeerOutcome &) {});
    }
}

Policy CoordinatorSet::servicePolicy(const FleetView &view, const PartitionMap &map) const
{
    return policyFor(*view.policies, Subject{map.backend, map.service, CallerId{},
                                             m_identity.dataCentre, m_identity.instance});
}

} // namespace oleander
