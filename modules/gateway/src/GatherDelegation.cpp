#include <oleander/gateway/GatherDelegation.h>

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace oleander::gateway {

namespace {

constexpr Duration evaluationPeriod = milliseconds(250);
/// Connections that each instance would need to each server to execute gathered requests itself.
constexpr std::size_t connectionsNeeded = 2;
/// With a single coordinator, its loss would leave all instances without connections to shards.
constexpr std::size_t minimumCoordinators = 2;
/// Quantile of the measured hop times that is reserved.
constexpr PerMille hopQuantile{900};
constexpr Duration aheadProbeTimeout = milliseconds(500);

} // namespace

GatherRules gatherRules(const Route &route)
{
    GatherRules rules;
    rules.route = route.id.text();
    rules.shards = route.shards;
    rules.recordLimit = route.recordLimit;
    rules.minimumShare = route.minimumShare;
    rules.maximumAttempts = route.maximumAttempts;
    rules.priority = route.priority;
    rules.objective = route.objective;
    return rules;
}

std::uint64_t digestOf(const GatherRules &rules)
{
    std::string text;
    const auto add = [&text](const auto &value) {
        text.append(reinterpret_cast<const char *>(&value), sizeof value);
    };
    text.append(rules.route).push_back('\0');
    for (const ServiceId &shard : rules.shards)
        text.append(shard.text()).push_back('\0');
    add(rules.recordLimit);
    add(rules.minimumShare);
    add(rules.maximumAttempts);
    add(rules.priority);
    add(rules.objective.count());
    return XXH3_64bits(text.data(), text.size());
}

GatherDelegation::GatherDelegation(InstanceId self, DataCentreId dataCentre, ServerFleet &fleet,
                                   PeerNetwork &peers, PeerProber &prober, TimerService &timer,
                                   EventLog &log, const GatewayPolicy &policy,
                                   InstanceCount countInstances)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_fleet(fleet)
    , m_peers(peers)
    , m_prober(prober)
    , m_timer(timer)
    , m_log(log)
    , m_policy(policy)
    , m_countInstances(std::move(countInstances))
    , m_directory(m_self, m_dataCentre)
    , m_evaluation(timer.callEvery(evaluationPeriod, [this](const TimerTick &) { evaluate(); }))
{
}

void GatherDelegation::onCoordinators(const InstanceId &seed, std::vector<Instance> coordinators)
{
    if (m_directory.onList(seed, std::move(coordinators), m_timer.now()))
        evaluate();
}

void GatherDelegation::evaluate()
{
    m_dataCentres = m_fleet.shardDataCentres();
    std::vector<Instance> near;
    for (const Instance &instance : m_directory.known()) {
        if (std::ranges::find(m_dataCentres, instance.dataCentre) != m_dataCentres.end())
            near.push_back(instance);
    }
    if (near.empty()) {
        m_dataCentres.clear();
        near = m_directory.known();
    }
    const auto instances = m_countInstances();
    const auto cap = m_fleet.shardConnectionCap();
    const bool areConnectionsScarce =
        instances && cap && static_cast<std::size_t>(*cap) < connectionsNeeded * *instances;
    if (!areConnectionsScarce || near.size() < minimumCoordinators)
        near.clear();
    const bool isCoordinator = std::ranges::binary_search(near, m_self, {}, &Instance::id);
    const bool isChanged = near != m_active || isCoordinator != m_isCoordinator;
    if (isChanged) {
        m_log.record(EventId::CoordinatorsChanged, {},
                     {{"coordinators", near.size()},
                      {"known", m_directory.known().size()},
                      {"isCoordinator", isCoordinator}});
    }
    m_active = std::move(near);
    m_isCoordinator = isCoordinator;
    m_fleet.setShardSharing({static_cast<int>(m_active.size()), isCoordinator});
    if (isChanged)
        connectAhead();
}

bool GatherDelegation::isActiveFor(const Route &route) const
{
    // The rules that are sent to coordinators do not contain home regions.
    return !m_active.empty() && !m_isCoordinator && route.homeRegions.empty()
           && route.idempotency == Idempotency::Idempotent;
}

std::optional<Instance> GatherDelegation::choose(const std::vector<InstanceId> &excluded) const
{
    return m_directory.choose(m_dataCentres, excluded, m_timer.now());
}

std::optional<Instance> GatherDelegation::chooseIn(const DataCentreId &dataCentre) const
{
    return m_directory.choose({dataCentre}, {}, m_timer.now());
}

std::vector<DataCentreId> GatherDelegation::otherDataCentres() const
{
    std::vector<DataCentreId> result;
    for (const Instance &instance : m_active) {
        if (instance.dataCentre != m_dataCentre
            && std::ranges::find(result, instance.dataCentre) == result.end())
            result.push_back(instance.dataCentre);
    }
    return result;
}

Duration GatherDelegation::hopTime() const
{
    return m_hopTimes.quantile(hopQuantile, m_policy.coordinatorHop);
}

void GatherDelegation::noteReply(const InstanceId &coordinator, const PeerGatherReply &reply,
                                 Duration latency)
{
    m_hopTimes.add(std::max(Duration{}, latency - reply.elapsed));
    m_directory.noteReply(coordinator, reply.activeGathers, m_timer.now());
}

void GatherDelegation::noteFailure(const InstanceId &coordinator, const RequestId &request,
                                   const char *cause)
{
    m_directory.noteFailure(coordinator, m_timer.now());
    m_log.record(EventId::CoordinatorFailed, request,
                 {{"coordinator", coordinator.text()}, {"cause", cause}});
}

void GatherDelegation::connectAhead()
{
    const auto next = m_active.empty() || m_isCoordinator ? std::nullopt : choose({});
    if (!next || m_connectedAhead == next->id)
        return;
    m_connectedAhead = next->id;
    m_prober.probe(*next, aheadProbeTimeout,
                   [lifetime = std::weak_ptr(m_lifetime), this, id = next->id](bool isResponsive) {
                       if (!lifetime.expired() && !isResponsive)
                           noteFailure(id, {}, "no response");
                   });
}

} // namespace oleander::gateway
