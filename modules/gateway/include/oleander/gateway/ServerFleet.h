#pragma once

#include <oleander/decisions/request/LatencyWindow.h>
#include <oleander/gateway/BackendServer.h>
#include <oleander/gateway/RouteTable.h>
#include <oleander/ports/RandomSource.h>

#include <memory>
#include <unordered_map>
#include <vector>

namespace oleander::gateway {

/// The servers of one service.
struct ServicePool
{
    ServiceId id;
    int connectionCap = 0;
    ExtraBudget extras;
    std::vector<BackendServer *> servers;

    [[nodiscard]] bool hasUsableServer() const;
};

/// All servers that are registered, by service.
class ServerFleet
{
public:
    ServerFleet(ServerLinkFactory &links, TimerService &timer, RandomSource &random, EventLog &log,
                const GatewayPolicy &policy, DataCentreId dataCentre);

    // News
    /// A registration changed; null when it is gone.
    void onRegistration(const ServerId &server, const ServerRegistration *registration);
    /// A configuration is in force: its services are the ones that get connections.
    void onConfiguration(const GatewayConfiguration &configuration);

    // Use
    /// The pool of a service. Made when there is none; stays for good.
    ServicePool &pool(const ServiceId &service);
    /// A usable server of the pool that is not among `excluded` nor avoided at present, or null.
    BackendServer *choose(ServicePool &pool, const std::vector<BackendServer *> &excluded,
                          Duration usualLatency);
    [[nodiscard]] std::size_t connections() const;
    /// Takes one extra sending to the service from its budget.
    bool takeExtra(ServicePool &pool, ExtraKind kind);
    [[nodiscard]] std::uint64_t drawRandom() { return m_random.next(); }
    void earnExtra(ServicePool &pool) { gateway::earnExtra(pool.extras, m_policy.extras); }

private:
    void tidy();
    void warmUpLater(const ServerId &server);
    void warmUpSome();
    [[nodiscard]] int connectionLimit(const ServicePool &pool) const;

    ServerContext m_context;
    RandomSource &m_random;
    const GatewayPolicy &m_policy;
    DataCentreId m_dataCentre;
    std::unordered_map<ServiceId, std::unique_ptr<ServicePool>> m_pools;
    std::unordered_map<ServerId, std::unique_ptr<BackendServer>> m_servers;
    /// Retired servers with work under way.
    std::vector<std::unique_ptr<BackendServer>> m_retired;
    /// Servers that are still to get their first connection.
    std::vector<ServerId> m_cold;
    Subscription m_tidying;
    Subscription m_warming;
};

} // namespace oleander::gateway
