#include "coordinator/CoordinatorSet.h"

#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/request/Plan.h>
#include <oleander/settings/PolicyFor.h>

namespace oleander {

namespace {

/// How long other instances may still use the previous instance list.
constexpr Duration listPropagationTime = seconds(3);
/// Number of changes of a service's coordinators that are remembered.
constexpr std::size_t rememberedEpochs = 8;
/// Time-out for sending a crash notice to a peer.
constexpr Duration noticeTimeout = milliseconds(500);

bool isFirstCoordinator(const std::vector<InstanceId> &coordinators, std::uint64_t key,
                        const InstanceId &self)
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
    updateFromView();
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
    CoordinatedService &coordinated = m_services.at(map->service);
    const ActiveQueryId id = coordinated.coordinator->submit(std::move(message.query), policy,
                                                             message.timeLeft, std::move(done));
    return {map->service, id};
}

void CoordinatorSet::abandon(const Handle &handle)
{
    const auto found = m_services.find(handle.service);
    if (found != m_services.end())
        found->second.coordinator->abandon(handle.query);
}

void CoordinatorSet::tick(TimePoint now)
{
    updateFromView();
    for (auto &[service, coordinated] : m_services) {
        if (coordinated.coordinator->activeQueries() > 0)
            coordinated.coordinator->tick(now);
    }
}

void CoordinatorSet::onHeartbeat(TimePoint now, bool isAfterPause)
{
    updateFromView();
    for (auto &[service, coordinated] : m_services)
        coordinated.coordinator->onHeartbeat(now, isAfterPause);
    removeUnserved();
}

void CoordinatorSet::onCrashNotices(const std::vector<CrashNotice> &notices)
{
    for (const CrashNotice &notice : notices) {
        const auto found = m_services.find(notice.service);
        if (found != m_services.end())
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
    for (const auto &[service, coordinated] : m_services)
        count += coordinated.coordinator->activeQueries();
    return count;
}

void CoordinatorSet::fillStatus(QueryNodeStatus &status) const
{
    for (const auto &[service, coordinated] : m_services) {
        status.coordinated.push_back(service);
        status.connections += coordinated.coordinator->connections();
        status.waitingSubRequests += coordinated.coordinator->waiting();
        status.suspicions += coordinated.coordinator->suspicions();
    }
    status.activeQueries = activeQueries();
}

void CoordinatorSet::updateFromView()
{
    auto view = m_ports.views.view();
    if (!view || view == m_view)
        return;
    m_view = std::move(view);
    for (auto &[service, coordinated] : m_services)
        coordinated.isServing = false;
    for (const auto &[service, map] : m_view->partitions) {
        if (ownsService(service))
            updateService(map);
    }
}

void CoordinatorSet::updateService(const std::shared_ptr<const PartitionMap> &map)
{
    if (!isCoordinator(map->service, *m_view->instances, coordinatorCount(*m_view, *map),
                       m_identity.instance)) {
        return;
    }
    CoordinatedService &coordinated = findOrCreate(map->service);
    coordinated.isServing = true;
    coordinated.coordinator->applyPartitionMap(map, servicePolicy(*m_view, *map),
                                               m_view->policies->version);
    clearEpochsAfterGap(coordinated);
    const auto &coordinators = m_coordinators.coordinatorsOf(m_view, *map);
    if (!coordinated.epochs.empty() && coordinated.epochs.back().coordinators == coordinators)
        return;
    coordinated.epochs.push_back({m_ports.timers.wallNow() + listPropagationTime, coordinators});
    if (coordinated.epochs.size() > rememberedEpochs)
        coordinated.epochs.pop_front();
}

void CoordinatorSet::clearEpochsAfterGap(CoordinatedService &coordinated)
{
    const SectionVersion list = m_view->instances->version;
    if (list.value() > coordinated.listVersion.value() + 1)
        coordinated.epochs.clear();
    coordinated.listVersion = list;
}

void CoordinatorSet::removeUnserved()
{
    std::erase_if(m_services, [](const auto &item) {
        return !item.second.isServing && item.second.coordinator->activeQueries() == 0;
    });
}

CoordinatorSet::CoordinatedService &CoordinatorSet::findOrCreate(const ServiceId &service)
{
    CoordinatedService &coordinated = m_services[service];
    if (coordinated.coordinator)
        return coordinated;
    ServiceCoordinator::Context context{
        m_ports.timers,
        m_ports.servers,
        m_ports.random,
        m_ports.log,
        m_ports.observer,
        m_identity.instance,
        [this, service](const CrashEvidence &evidence) { broadcastCrash(service, evidence); }};
    coordinated.coordinator = std::make_unique<ServiceCoordinator>(
        std::move(context), service, m_ports.timers.wallNow() + listPropagationTime);
    return coordinated;
}

bool CoordinatorSet::mayServe(const PeerQuery &message, const ServiceId &service, Answer &refused)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.isServing) {
        refused = refusal(ErrorKind::NotCoordinator,
                          "by instance list " + std::to_string(m_view->instances->version.value()));
        return false;
    }
    if (message.query.isIdempotent)
        return true;
    return mayServeNonIdempotent(message, found->second, service, refused);
}

bool CoordinatorSet::mayServeNonIdempotent(const PeerQuery &message,
                                           CoordinatedService &coordinated,
                                           const ServiceId &service, Answer &refused)
{
    // Earlier requests with this id are known only to the first coordinator, according to an
    // instance list that the sender and this instance share.
    const std::uint64_t key = routingKey(message.query, service);
    const bool isAgreed = message.instanceList == m_view->instances->version;
    if (!isAgreed
        || !isFirstCoordinator(coordinated.epochs.back().coordinators, key, m_identity.instance)) {
        refused =
            refusal(ErrorKind::NotCoordinator, "not first for this request by an agreed list");
        return false;
    }
    WallTime since = coordinated.epochs.back().since;
    for (auto epoch = coordinated.epochs.rbegin(); epoch != coordinated.epochs.rend(); ++epoch) {
        if (!isFirstCoordinator(epoch->coordinators, key, m_identity.instance))
            break;
        since = epoch->since;
    }
    coordinated.coordinator->setRequestHistoryStart(since);
    return true;
}

void CoordinatorSet::broadcastCrash(const ServiceId &service, const CrashEvidence &evidence)
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
