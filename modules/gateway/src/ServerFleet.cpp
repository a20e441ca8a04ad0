#include "NearFirst.h"
#include "Ratio.h"

#include <oleander/gateway/ServerFleet.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oleander::gateway {

namespace {

/// How often silent and idle connections are looked for.
constexpr Duration tidyPeriod = milliseconds(250);
/// Pause between the openings of first connections, each of a few servers, so that a start of many
/// instances does not reach every server at once.
constexpr Duration warmUpPeriod = milliseconds(20);
constexpr std::size_t warmUpsAtOnce = 2;
/// Instances that share a server's connections, until their number is known.
constexpr int assumedInstances = 24;
/// Servers of each service that get connections until then; the second stands in for the first.
constexpr std::size_t preferredAtFirst = 2;

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
    , m_started(timer.now())
    , m_orderSeed(random.next())
    , m_tidying(timer.callEvery(tidyPeriod, [this](const TimerTick &) { tidy(); }))
{
}

void ServerFleet::onRegistration(const ServerId &server, const ServerRegistration *registration)
{
    const auto found = m_servers.find(server);
    const bool isMoved = registration && found != m_servers.end()
                         && found->second->registration().service != registration->service;
    if (found != m_servers.end() && (!registration || isMoved)) {
        ServicePool &left = pool(found->second->registration().service);
        std::erase(left.servers, found->second.get());
        std::erase(left.preferred, found->second.get());
        share(left);
        m_context.log.record(EventId::ServerGone, {},
                             {{"server", server.text()}, {"service", left.id.text()}});
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
    ServicePool &itsPool = pool(registration->service);
    itsPool.servers.push_back(held.get());
    share(itsPool);
}

void ServerFleet::onConfiguration(const GatewayConfiguration &configuration)
{
    for (const ServiceDeclaration &service : configuration.services) {
        ServicePool &itsPool = pool(service.id);
        itsPool.connectionCap = service.connectionCap;
        share(itsPool);
    }
}

void ServerFleet::onFleetSize()
{
    for (const auto &[id, pool] : m_pools)
        share(*pool);
}

void ServerFleet::share(ServicePool &pool)
{
    // Services that no configuration names get no connections.
    if (pool.connectionCap <= 0)
        return;
    std::vector<std::pair<std::uint64_t, BackendServer *>> order;
    for (BackendServer *server : pool.servers) {
        const ServerRegistration &registration = server->registration();
        const std::string &id = registration.id.text();
        const std::uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), m_orderSeed);
        order.emplace_back(placeNearFirst(hash, registration.dataCentre == m_dataCentre), server);
    }
    std::ranges::sort(order);
    const auto before = std::exchange(pool.preferred, {});
    const std::size_t preferred = preferredCount(pool);
    const bool isScarce = preferred < order.size();
    for (const auto &[place, server] : order) {
        // Where connections are scarce, only the first server keeps one. After a loss of power
        // servers still hold the connections of before.
        const bool isKept = !isScarce || server == order.front().second;
        server->setConnectionLimits(connectionLimit(pool),
                                    isKept ? m_policy.idleLimit : m_policy.scarceIdleLimit);
        if (pool.preferred.size() == preferred)
            continue;
        pool.preferred.push_back(server);
        if (isKept && std::ranges::find(before, server) == before.end())
            warmUpLater(server->registration().id);
    }
}

ServicePool &ServerFleet::pool(const ServiceId &service)
{
    auto &held = m_pools[service];
    if (!held) {
        held = std::make_unique<ServicePool>();
        held->id = service;
        held->extras = ExtraBudget(m_started, unitInterval(m_random.next()));
    }
    return *held;
}

BackendServer *ServerFleet::choose(ServicePool &pool, const std::vector<BackendServer *> &excluded,
                                   Duration usualLatency)
{
    const std::vector<BackendServer *> *among = &pool.preferred;
    auto candidates = candidatesAmong(*among, excluded, usualLatency);
    if (candidates.empty()) {
        among = &pool.servers;
        candidates = candidatesAmong(*among, excluded, usualLatency);
    }
    const auto chosen = chooseServer(candidates, m_context.timer.now(), m_random.next());
    return chosen ? (*among)[*chosen] : nullptr;
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
        if (!server.isUsable() || server.isAvoided()
            || std::ranges::find(excluded, &server) != excluded.end())
            continue;
        ServerCandidate candidate{index, &server.score(), server.inFlight(), 0,
                                  server.registration().dataCentre == m_dataCentre};
        const auto oldest = server.oldestSent();
        if (oldest && usualLatency > Duration{})
            candidate.oldestAge = ratio(now - *oldest, usualLatency);
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

bool ServerFleet::takeExtra(ServicePool &pool, ExtraKind kind)
{
    return pool.extras.takeExtra(m_policy.extras, kind, m_context.timer.now());
}

void ServerFleet::tidy()
{
    for (const auto &[id, server] : m_servers)
        server->tidy();
    for (const auto &server : m_retired)
        server->tidy();
    std::erase_if(m_retired, [](const auto &server) { return server->isFinished(); });
}

void ServerFleet::warmUpLater(const ServerId &server)
{
    const std::size_t position = m_cold.empty() ? 0 : m_random.below(m_cold.size() + 1);
    m_cold.insert(m_cold.begin() + static_cast<std::ptrdiff_t>(position), server);
    if (m_cold.size() == 1) {
        m_warming =
            m_context.timer.callEvery(warmUpPeriod, [this](const TimerTick &) { warmUpSome(); });
    }
}

void ServerFleet::warmUpSome()
{
    for (std::size_t count = 0; count < warmUpsAtOnce && !m_cold.empty(); ++count) {
        const ServerId next = m_cold.back();
        m_cold.pop_back();
        const auto found = m_servers.find(next);
        if (found != m_servers.end())
            found->second->warmUp();
    }
    if (m_cold.empty())
        m_warming.reset();
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
        return std::min(servers, preferredAtFirst);
    // The connections that all servers take, shared by all instances.
    const std::size_t share = servers * static_cast<std::size_t>(pool.connectionCap)
                              / static_cast<std::size_t>(std::max(1, *m_policy.instances));
    return std::min(servers, std::max<std::size_t>(1, share));
}

} // namespace oleander::gateway
