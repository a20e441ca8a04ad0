#include <oleander/gateway/ServerFleet.h>

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
    , m_tidying(timer.callEvery(tidyPeriod, [this](const TimerTick &) { tidy(); }))
{
}

void ServerFleet::onRegistration(const ServerId &server, const ServerRegistration *registration)
{
    const auto found = m_servers.find(server);
    const bool isMoved = registration && found != m_servers.end()
                         && found->second->registration().service != registration->service;
    if (found != m_servers.end() && (!registration || isMoved)) {
        std::erase(pool(found->second->registration().service).servers, found->second.get());
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
    ServicePool &itsPool = pool(registration->service);
    held->setConnectionLimit(connectionLimit(itsPool));
    itsPool.servers.push_back(held.get());
    if (itsPool.connectionCap > 0)
        warmUpLater(server);
}

void ServerFleet::onConfiguration(const GatewayConfiguration &configuration)
{
    for (const ServiceDeclaration &service : configuration.services) {
        ServicePool &itsPool = pool(service.id);
        const bool isNew = itsPool.connectionCap == 0;
        itsPool.connectionCap = service.connectionCap;
        for (BackendServer *server : itsPool.servers) {
            server->setConnectionLimit(connectionLimit(itsPool));
            if (isNew)
                warmUpLater(server->registration().id);
        }
    }
}

ServicePool &ServerFleet::pool(const ServiceId &service)
{
    auto &held = m_pools[service];
    if (!held) {
        held = std::make_unique<ServicePool>();
        held->id = service;
        held->extras = freshBudget(m_context.timer.now());
    }
    return *held;
}

BackendServer *ServerFleet::choose(ServicePool &pool, const std::vector<BackendServer *> &excluded,
                                   Duration usualLatency)
{
    const TimePoint now = m_context.timer.now();
    std::vector<ServerCandidate> candidates;
    candidates.reserve(pool.servers.size());
    for (std::size_t index = 0; index < pool.servers.size(); ++index) {
        const BackendServer &server = *pool.servers[index];
        if (!server.isUsable() || server.isAvoided()
            || std::ranges::find(excluded, &server) != excluded.end())
            continue;
        ServerCandidate candidate{index, &server.score(), server.inFlight(), 0,
                                  server.registration().dataCentre == m_dataCentre};
        const auto oldest = server.oldestSent();
        if (oldest && usualLatency > Duration{}) {
            candidate.oldestAge = static_cast<double>((now - *oldest).count())
                                  / static_cast<double>(usualLatency.count());
        }
        candidates.push_back(candidate);
    }
    const auto chosen = chooseServer(candidates, now, m_random.next());
    return chosen ? pool.servers[*chosen] : nullptr;
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
    return gateway::takeExtra(pool.extras, m_policy.extras, kind, m_context.timer.now());
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
    const int share = pool.connectionCap / std::max(1, m_policy.assumedInstances);
    return std::clamp(share, 1, m_policy.connectionsPerServer);
}

} // namespace oleander::gateway
