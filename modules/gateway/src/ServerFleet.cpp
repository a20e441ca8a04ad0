#include "LocalFirstRank.h"
#include "Ratio.h"

#include <oleander/gateway/ServerFleet.h>

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace oleander::gateway {

namespace {

/// Interval of the check for unresponsive and idle connections.
constexpr Duration maintenancePeriod = milliseconds(250);
/// Interval and batch size for opening first connections, so that many instances that start
/// together do not all contact every server at once.
constexpr Duration warmUpPeriod = milliseconds(20);
constexpr std::size_t warmUpsPerPeriod = 2;
/// Number of servers of each service that get connections until then; the second is a backup.
constexpr std::size_t initialPreferredCount = 2;
/// Time after the first configuration in which this instance learns whether coordinators hold the
/// connections to shards. Until then it opens them on demand only.
constexpr Duration shardWarmUpDelay = milliseconds(600);
/// Limits within which a server is sound: relative slowness, share of failed requests, and age of
/// the oldest request without a reply in typical latencies.
constexpr double soundSlowness = 2.5;
constexpr double soundFailureRate = 0.3;
constexpr int stalledLatencies = 3;
/// A process that was suspended has fired timers much later; no answer can be sent so much earlier.
constexpr Duration maximumLateness = milliseconds(8);
/// Share of a shard's connections and extra attempts for the coordinators. The others need the rest
/// while no coordinator can be reached.
constexpr double coordinatorShare = 0.85;
/// A process that has not run for this long may have missed that servers became cold. What an
/// instance that runs knows from the registry may be as old.
constexpr Duration pauseLimit = seconds(3);
/// Health probes that one instance begins in a period of maintenance. Those of a data centre with
/// 90 servers, after its evacuation, take a second and a half.
constexpr std::size_t probesPerPeriod = 16;

} // namespace

bool ServicePool::hasUsableServer() const
{
    return std::ranges::any_of(servers,
                               [](const BackendServer *server) { return server->isUsable(); });
}

Duration ServicePool::untilAccepting() const
{
    std::optional<Duration> soonest;
    for (const BackendServer *server : servers) {
        if (!server->isUsable() || server->isEjected())
            continue;
        const Duration left = server->untilAccepting();
        soonest = std::min(soonest.value_or(left), left);
    }
    return soonest.value_or(Duration{});
}

ServerFleet::ServerFleet(ServerLinkFactory &links, TimerService &timer, RandomSource &random,
                         EventLog &log, const GatewayPolicy &policy, DataCentreId dataCentre)
    : m_crashGuard(timer, log, policy.crashes)
    , m_context{links, timer, log, policy, m_crashGuard, m_coldRequests}
    , m_random(random)
    , m_policy(policy)
    , m_dataCentre(std::move(dataCentre))
    , m_processStart(timer.now())
    , m_rankSeed(random.next())
    , m_lastRun(timer.now())
    , m_maintenanceTimer(timer.callEvery(
          maintenancePeriod, [this](const TimerTick &tick) { maintainConnections(tick); }))
{
}

void ServerFleet::onRegistration(const ServerId &server, const ServerRegistration *registration)
{
    const auto found = m_servers.find(server);
    const bool isMoved = registration && found != m_servers.end()
                         && found->second->registration().service != registration->service;
    if (found != m_servers.end() && (!registration || isMoved)) {
        ServicePool &oldPool = pool(found->second->registration().service);
        std::erase(oldPool.servers, found->second.get());
        std::erase(oldPool.preferred, found->second.get());
        std::erase(oldPool.keptConnected, found->second.get());
        assignPreferredServers(oldPool);
        m_context.log.record(EventId::ServerGone, {},
                             {{"server", server.text()}, {"service", oldPool.id.text()}});
        found->second->retire();
        m_retired.push_back(std::move(found->second));
        m_servers.erase(found);
    }
    if (!registration)
        return;
    auto &held = m_servers[server];
    if (held) {
        if (registration->isDraining && !held->registration().isDraining) {
            m_context.log.record(EventId::ServerDraining, {},
                                 {{"server", server.text()},
                                  {"service", registration->service.text()},
                                  {"source", "registry"}});
        }
        held->update(*registration);
        held->setEvacuated(m_evacuated.contains(registration->dataCentre));
        return;
    }
    held = std::make_unique<BackendServer>(m_context, *registration);
    held->setEvacuated(m_evacuated.contains(registration->dataCentre));
    m_context.log.record(EventId::ServerRegistered, {},
                         {{"server", server.text()},
                          {"service", registration->service.text()},
                          {"address", registration->address.number},
                          {"dataCentre", registration->dataCentre.text()},
                          {"isDraining", registration->isDraining}});
    ServicePool &newPool = pool(registration->service);
    held->setRoomListener([dispatch = newPool.dispatch] { dispatch->onRoomChanged(); });
    newPool.servers.push_back(held.get());
    assignPreferredServers(newPool);
}

void ServerFleet::onConfiguration(const GatewayConfiguration &configuration)
{
    if (!m_hasConfiguration) {
        m_hasConfiguration = true;
        m_shardWarmUpTimer = m_context.timer.callAfter(shardWarmUpDelay, [this](const TimerTick &) {
            m_isShardWarmUpDue = true;
            onInstanceCountChanged();
        });
    }
    for (const Route &route : configuration.routes) {
        for (const ServiceId &shard : route.shards)
            pool(shard).isShard = true;
    }
    for (const ServiceDeclaration &service : configuration.services) {
        ServicePool &newPool = pool(service.id);
        newPool.connectionCap = service.connectionCap;
        newPool.coldStart = {service.warmUp, service.warmUpPerSecond};
        newPool.healthPath = service.healthPath;
        assignPreferredServers(newPool);
    }
}

void ServerFleet::setEvacuated(std::set<DataCentreId> dataCentres)
{
    for (const DataCentreId &dataCentre : dataCentres) {
        if (!m_evacuated.contains(dataCentre))
            m_context.log.record(EventId::EvacuationStarted, {},
                                 {{"dataCentre", dataCentre.text()}});
    }
    for (const DataCentreId &dataCentre : m_evacuated) {
        if (!dataCentres.contains(dataCentre))
            m_context.log.record(EventId::EvacuationEnded, {}, {{"dataCentre", dataCentre.text()}});
    }
    m_evacuated = std::move(dataCentres);
    for (const auto &[id, server] : m_servers)
        server->setEvacuated(m_evacuated.contains(server->registration().dataCentre));
}

void ServerFleet::setColdSenders(const InstanceId &self, std::vector<InstanceId> candidates)
{
    if (self == m_self && candidates == m_coldSenders)
        return;
    m_self = self;
    m_coldSenders = std::move(candidates);
    for (const auto &[id, pool] : m_pools) {
        if (pool->coldStart.hasLimit())
            assignPreferredServers(*pool);
    }
}

void ServerFleet::assignColdStart(const ServicePool &pool, BackendServer &server,
                                  double initialTokens)
{
    const auto share =
        pool.coldStart.hasLimit() ? coldStartShare(
            pool.coldStart, {m_self, m_policy.instances, m_coldSenders}, server.registration().id)
                                  : ColdStartShare{};
    server.setColdStart(pool.coldStart, share, initialTokens);
}

void ServerFleet::onInstanceCountChanged()
{
    for (const auto &[id, pool] : m_pools)
        assignPreferredServers(*pool);
}

void ServerFleet::setShardSharing(const ShardSharing &sharing)
{
    if (sharing == m_shardSharing)
        return;
    m_shardSharing = sharing;
    for (const auto &[id, pool] : m_pools) {
        if (pool->isShard)
            assignPreferredServers(*pool);
    }
}

std::vector<DataCentreId> ServerFleet::shardDataCentres() const
{
    std::map<DataCentreId, std::size_t> servers;
    for (const auto &[id, pool] : m_pools) {
        if (!pool->isShard || pool->connectionCap <= 0)
            continue;
        for (const BackendServer *server : pool->servers) {
            if (!m_evacuated.contains(server->registration().dataCentre))
                ++servers[server->registration().dataCentre];
        }
    }
    std::size_t most = 0;
    for (const auto &[dataCentre, count] : servers)
        most = std::max(most, count);
    std::vector<DataCentreId> result;
    for (const auto &[dataCentre, count] : servers) {
        if (2 * count >= most)
            result.push_back(dataCentre);
    }
    return result;
}

std::optional<int> ServerFleet::shardConnectionCap() const
{
    std::optional<int> lowest;
    for (const auto &[id, pool] : m_pools) {
        if (pool->isShard && pool->connectionCap > 0)
            lowest = std::min(lowest.value_or(pool->connectionCap), pool->connectionCap);
    }
    return lowest;
}

bool ServerFleet::hasSoundLocalServer(const ServicePool &pool, Duration usualLatency) const
{
    const TimePoint now = m_context.timer.now();
    return std::ranges::any_of(pool.servers, [&](const BackendServer *server) {
        if (server->registration().dataCentre != m_dataCentre || !server->isUsable()
            || server->isEjected() || server->isCold() || server->untilAccepting() > Duration{})
            return false;
        const auto oldest = server->oldestSendTime();
        const bool isStalled = oldest && now - *oldest > stalledLatencies * usualLatency;
        return !isStalled && decayedSlowness(server->score(), now) < soundSlowness
               && server->score().failureRate < soundFailureRate;
    });
}

void ServerFleet::assignPreferredServers(ServicePool &pool)
{
    // Services that are not in the configuration get no connections.
    if (pool.connectionCap <= 0)
        return;
    std::vector<std::pair<std::uint64_t, BackendServer *>> order;
    for (BackendServer *server : pool.servers) {
        const ServerRegistration &registration = server->registration();
        const std::string &id = registration.id.text();
        const std::uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), m_rankSeed);
        order.emplace_back(localFirstRank(hash, registration.dataCentre == m_dataCentre), server);
    }
    std::ranges::sort(order);
    const auto previouslyKept = std::exchange(pool.keptConnected, {});
    pool.preferred.clear();
    const std::size_t preferred = preferredCount(pool);
    const bool isScarce = preferred < order.size();
    const bool keepsAny = keepsConnections(pool);
    for (const auto &[rank, server] : order) {
        // When connections are scarce, an idle one is kept only to the first server, because after
        // a power loss servers still hold the connections that were opened before it.
        const bool keepsIdle = keepsAny && (!isScarce || server == order.front().second);
        server->setConnectionLimits(connectionLimit(pool),
                                    keepsIdle ? m_policy.idleLimit : m_policy.onDemandIdleLimit);
        server->setHealthPath(pool.healthPath);
        server->setRateSharing(sharers(pool).value_or(assumedSharers), unitInterval(rank << 1));
        assignColdStart(pool, *server, unitInterval(rank << 1));
        if (pool.preferred.size() == preferred)
            continue;
        pool.preferred.push_back(server);
        if (!keepsIdle)
            continue;
        pool.keptConnected.push_back(server);
        if (std::ranges::find(previouslyKept, server) == previouslyKept.end())
            queueWarmUp(server->registration().id);
    }
}

bool ServerFleet::keepsConnections(const ServicePool &pool) const
{
    if (!pool.isShard || m_shardSharing.isCoordinator)
        return true;
    return m_shardSharing.coordinators == 0 && (m_policy.instances || m_isShardWarmUpDue);
}

ServicePool &ServerFleet::pool(const ServiceId &service)
{
    auto &held = m_pools[service];
    if (!held) {
        held = std::make_unique<ServicePool>();
        held->id = service;
        held->dispatch =
            std::make_shared<DispatchQueue>(m_context.timer, m_policy.isLoadControlled);
        held->extraBudget = ExtraBudget(m_processStart, unitInterval(m_random.next()));
    }
    return *held;
}

BackendServer *ServerFleet::choose(ServicePool &pool, const std::vector<BackendServer *> &excluded,
                                   Duration usualLatency)
{
    if (!pool.coldStart.hasLimit())
        return chooseAmongAll(pool, excluded, usualLatency);
    checkForPause();
    // First servers that get their usual requests, or that part of them which their time since the
    // cold time allows; then all warm ones; then cold ones.
    for (const double lowestShare : {unitInterval(m_random.next()), 0.0}) {
        std::vector<BackendServer *> avoided = excluded;
        std::ranges::copy_if(pool.servers, std::back_inserter(avoided),
                             [lowestShare](const BackendServer *server) {
                                 return server->usualShare() <= lowestShare;
                             });
        if (BackendServer *warm = chooseAmongAll(pool, avoided, usualLatency))
            return warm;
    }
    BackendServer *chosen = chooseAmongAll(pool, excluded, usualLatency);
    const bool isHeldBack =
        !chosen && std::ranges::any_of(pool.servers, [&excluded](const BackendServer *server) {
            return server->isUsable() && server->isCold()
                   && std::ranges::find(excluded, server) == excluded.end();
        });
    m_heldBackRequests += isHeldBack ? 1 : 0;
    return chosen;
}

BackendServer *ServerFleet::chooseAmongAll(ServicePool &pool,
                                           const std::vector<BackendServer *> &excluded,
                                           Duration usualLatency)
{
    const std::vector<BackendServer *> *source = &pool.preferred;
    auto candidates = candidatesAmong(*source, excluded, usualLatency);
    if (candidates.empty()) {
        source = &pool.servers;
        candidates = candidatesAmong(*source, excluded, usualLatency);
    }
    const auto chosen = chooseServer(candidates, m_context.timer.now(), m_random.next());
    return chosen ? (*source)[*chosen] : nullptr;
}

std::vector<ServerCandidate>
ServerFleet::candidatesAmong(const std::vector<BackendServer *> &servers,
                             const std::vector<BackendServer *> &excluded,
                             Duration usualLatency) const
{
    const TimePoint now = m_context.timer.now();
    std::vector<ServerCandidate> candidates;
    candidates.reserve(servers.size());
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const BackendServer &server = *servers[index];
        if (!server.isUsable() || server.isEjected() || server.untilAccepting() > Duration{}
            || std::ranges::find(excluded, &server) != excluded.end())
            continue;
        ServerCandidate candidate{index, &server.score(), server.inFlight(), 0,
                                  server.registration().dataCentre == m_dataCentre};
        const auto oldest = server.oldestSendTime();
        if (oldest && usualLatency > Duration{})
            candidate.oldestRelativeAge = ratio(now - *oldest, usualLatency);
        candidates.push_back(candidate);
    }
    return candidates;
}

ServerRoom ServerFleet::roomOf(const BackendServer &server) const
{
    ServerRoom room = server.room();
    room.pace = std::max(room.pace, decayedSlowness(server.score(), m_context.timer.now()));
    return room;
}

Duration ServerFleet::expectedWait(const ServicePool &pool, const WaitingWork &work) const
{
    // The wait at the server that is expected to reply first, and the time until its reply.
    std::optional<std::pair<Duration, Duration>> soonest;
    for (const BackendServer *server : pool.servers) {
        if (!server->isUsable() || server->isEjected())
            continue;
        const ServerRoom room = roomOf(*server);
        // An old report says little of the present wait, so that neither all nor none of the
        // instances refuse for it.
        const Duration wait(static_cast<std::int64_t>(
            reportFreshness(room.reportAge)
            * static_cast<double>(oleander::expectedWait(room, work.usualExecution).count())));
        const std::pair reply(expectedCompletion(room, work.usualExecution), wait);
        soonest = std::min(soonest.value_or(reply), reply);
    }
    const Duration atServer = soonest ? soonest->second : Duration{};
    return std::max(atServer, pool.dispatch->expectedWait(work));
}

std::size_t ServerFleet::connections() const
{
    std::size_t count = 0;
    for (const auto &[id, server] : m_servers)
        count += server->connections();
    return count;
}

std::size_t ServerFleet::waitingRequests() const
{
    std::size_t count = 0;
    for (const auto &[id, pool] : m_pools)
        count += pool->dispatch->size();
    return count;
}

std::uint64_t ServerFleet::waitedRequests() const
{
    std::uint64_t count = 0;
    for (const auto &[id, pool] : m_pools)
        count += pool->dispatch->waited();
    return count;
}

std::size_t ServerFleet::rateLimitedServers() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_servers, [](const auto &entry) { return entry.second->isRateLimited(); }));
}

std::size_t ServerFleet::coldServers() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_servers, [](const auto &entry) { return entry.second->isCold(); }));
}

bool ServerFleet::takeExtra(ServicePool &pool, ExtraAttemptKind kind)
{
    return pool.extraBudget.takeExtra(extraRules(pool), kind, m_context.timer.now());
}

ExtraBudgetRules ServerFleet::extraRules(const ServicePool &pool) const
{
    ExtraBudgetRules rules = m_policy.extraAttempts;
    if (!pool.isShard || m_shardSharing.coordinators == 0)
        return rules;
    if (m_shardSharing.isCoordinator) {
        rules.allowance =
            coordinatorShare * m_policy.fleetExtraAllowance / m_shardSharing.coordinators;
        rules.randomAllowance = 0;
    } else {
        rules.allowance *= 1 - coordinatorShare;
        rules.randomAllowance *= 1 - coordinatorShare;
    }
    return rules;
}

std::optional<int> ServerFleet::sharers(const ServicePool &pool) const
{
    if (!pool.isShard || !m_shardSharing.isCoordinator)
        return m_policy.instances;
    return static_cast<int>(m_shardSharing.coordinators / coordinatorShare) + 1;
}

void ServerFleet::checkForPause()
{
    const TimePoint now = m_context.timer.now();
    if (now - m_lastRun <= pauseLimit)
        return;
    m_lastRun = now;
    for (const auto &[id, pool] : m_pools) {
        for (BackendServer *server : pool->servers)
            server->assumeCold("this instance was paused");
    }
}

void ServerFleet::probeColdServers()
{
    std::vector<BackendServer *> due;
    for (const auto &[id, pool] : m_pools) {
        if (!pool->coldStart.hasLimit() || pool->healthPath.empty())
            continue;
        for (BackendServer *server : pool->servers) {
            if (server->isHealthProbeDue())
                due.push_back(server);
        }
    }
    for (std::size_t count = 0; count < probesPerPeriod && !due.empty(); ++count) {
        std::swap(due[m_random.below(due.size())], due.back());
        due.back()->probeHealth();
        due.pop_back();
    }
}

Duration ServerFleet::wakeUpLateness() const
{
    // Objectives are met when all but a few answers are sent in time.
    constexpr PerMille latenessQuantile{980};
    return std::min(maximumLateness, m_wakeUps.quantile(latenessQuantile, Duration{}));
}

void ServerFleet::maintainConnections(const TimerTick &tick)
{
    m_wakeUps.add(tick.lateness());
    checkForPause();
    m_lastRun = m_context.timer.now();
    probeColdServers();
    for (const auto &[id, server] : m_servers)
        server->maintainConnections();
    for (const auto &server : m_retired)
        server->maintainConnections();
    std::erase_if(m_retired, [](const auto &server) { return server->isFinished(); });
}

void ServerFleet::queueWarmUp(const ServerId &server)
{
    const std::size_t position =
        m_warmUpQueue.empty() ? 0 : m_random.below(m_warmUpQueue.size() + 1);
    m_warmUpQueue.insert(m_warmUpQueue.begin() + static_cast<std::ptrdiff_t>(position), server);
    if (m_warmUpQueue.size() == 1) {
        m_warmUpTimer =
            m_context.timer.callEvery(warmUpPeriod, [this](const TimerTick &) { warmUpNext(); });
    }
}

void ServerFleet::warmUpNext()
{
    for (std::size_t count = 0; count < warmUpsPerPeriod && !m_warmUpQueue.empty(); ++count) {
        const ServerId next = m_warmUpQueue.back();
        m_warmUpQueue.pop_back();
        const auto found = m_servers.find(next);
        if (found == m_servers.end())
            continue;
        const auto &kept = pool(found->second->registration().service).keptConnected;
        if (std::ranges::find(kept, found->second.get()) != kept.end())
            found->second->warmUp();
    }
    if (m_warmUpQueue.empty())
        m_warmUpTimer.reset();
}

int ServerFleet::connectionLimit(const ServicePool &pool) const
{
    const int instances = std::max(1, sharers(pool).value_or(assumedSharers));
    return std::clamp(pool.connectionCap / instances, 1, m_policy.connectionsPerServer);
}

std::size_t ServerFleet::preferredCount(const ServicePool &pool) const
{
    const std::size_t servers = pool.servers.size();
    const std::optional<int> instances = sharers(pool);
    if (!instances)
        return std::min(servers, initialPreferredCount);
    // The connections that all servers accept, divided among all instances.
    const std::size_t share = servers * static_cast<std::size_t>(pool.connectionCap)
                              / static_cast<std::size_t>(std::max(1, *instances));
    return std::min(servers, std::max<std::size_t>(1, share));
}

} // namespace oleander::gateway
