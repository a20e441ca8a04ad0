#include "LocalFirstRank.h"
#include "Ratio.h"

#include <oleander/gateway/ServerFleet.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oleander::gateway {

namespace {

/// Interval of the check for unresponsive and idle connections.
constexpr Duration maintenancePeriod = milliseconds(250);
/// Interval and batch size for opening first connections, so that many instances that start
/// together do not all contact every server at once.
constexpr Duration warmUpPeriod = milliseconds(20);
constexpr std::size_t warmUpsPerPeriod = 2;
/// Assumed number of instances that share a server's connections until the real number is known.
constexpr int assumedInstances = 24;
/// Number of servers of each service that get connections until then; the second is a backup.
constexpr std::size_t initialPreferredCount = 2;

} // namespace

bool ServicePool::hasUsableServer() const
{
    return std::ranges::any_of(servers,
                               [](const BackendServer *server) { return server->isUsable(); });
}

ServerFleet::ServerFleet(ServerLinkFactory &links, TimerService &timer, RandomSource &random,
                         EventLog &log, const GatewayPolicy &policy, DataCentreId dataCentre)
    : m_context{links, timer, log, policy}
    , m_random(random)
    , m_policy(policy)
    , m_dataCentre(std::move(dataCentre))
    , m_processStart(timer.now())
    , m_rankSeed(random.next())
    , m_maintenanceTimer(
          timer.callEvery(maintenancePeriod, [this](const TimerTick &) { maintainConnections(); }))
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
            m_context.log.record(
                EventId::ServerDraining, {},
                {{"server", server.text()}, {"service", registration->service.text()}});
        }
        held->update(*registration);
        return;
    }
    held = std::make_unique<BackendServer>(m_context, *registration);
    m_context.log.record(EventId::ServerRegistered, {},
                         {{"server", server.text()},
                          {"service", registration->service.text()},
                          {"address", registration->address.number},
                          {"dataCentre", registration->dataCentre.text()},
                          {"isDraining", registration->isDraining}});
    ServicePool &newPool = pool(registration->service);
    newPool.servers.push_back(held.get());
    assignPreferredServers(newPool);
}

void ServerFleet::onConfiguration(const GatewayConfiguration &configuration)
{
    for (const ServiceDeclaration &service : configuration.services) {
        ServicePool &newPool = pool(service.id);
        newPool.connectionCap = service.connectionCap;
        assignPreferredServers(newPool);
    }
}

void ServerFleet::onInstanceCountChanged()
{
    for (const auto &[id, pool] : m_pools)
        assignPreferredServers(*pool);
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
    const auto previous = std::exchange(pool.preferred, {});
    const std::size_t preferred = preferredCount(pool);
    const bool isScarce = preferred < order.size();
    for (const auto &[rank, server] : order) {
        // When connections are scarce, an idle one is kept only to the first server, because after
        // a power loss servers still hold the connections that were opened before it.
        const bool keepsIdle = !isScarce || server == order.front().second;
        server->setConnectionLimits(connectionLimit(pool),
                                    keepsIdle ? m_policy.idleLimit : m_policy.onDemandIdleLimit);
        if (pool.preferred.size() == preferred)
            continue;
        pool.preferred.push_back(server);
        if (keepsIdle && std::ranges::find(previous, server) == previous.end())
            queueWarmUp(server->registration().id);
    }
}

ServicePool &ServerFleet::pool(const ServiceId &service)
{
    auto &held = m_pools[service];
    if (!held) {
        held = std::make_unique<ServicePool>();
        held->id = service;
        held->extraBudget = ExtraBudget(m_processStart, unitInterval(m_random.next()));
    }
    return *held;
}

BackendServer *ServerFleet::choose(ServicePool &pool, const std::vector<BackendServer *> &excluded,
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
        if (!server.isUsable() || server.isEjected()
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

std::size_t ServerFleet::connections() const
{
    std::size_t count = 0;
    for (const auto &[id, server] : m_servers)
        count += server->connections();
    return count;
}

bool ServerFleet::takeExtra(ServicePool &pool, ExtraAttemptKind kind)
{
    return pool.extraBudget.takeExtra(m_policy.extraAttempts, kind, m_context.timer.now());
}

void ServerFleet::maintainConnections()
{
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
        if (found != m_servers.end())
            found->second->warmUp();
    }
    if (m_warmUpQueue.empty())
        m_warmUpTimer.reset();
}

int ServerFleet::connectionLimit(const ServicePool &pool) const
{
    const int instances = std::max(1, m_policy.instances.value_or(assumedInstances));
    return std::clamp(pool.connectionCap / instances, 1, m_policy.connectionsPerServer);
}

std::size_t ServerFleet::preferredCount(const ServicePool &pool) const
{
    const std::size_t servers = pool.servers.size();
    if (!m_policy.instances)
        return std::min(servers, initialPreferredCount);
    // The connections that all servers accept, divided among all instances.
    const std::size_t share = servers * static_cast<std::size_t>(pool.connectionCap)
                              / static_cast<std::size_t>(std::max(1, *m_policy.instances));
    return std::min(servers, std::max<std::size_t>(1, share));
}

} // namespace oleander::gateway
