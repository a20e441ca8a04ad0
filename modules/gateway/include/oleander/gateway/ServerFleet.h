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
    /// Those that this instance keeps connections to. The others stand in when none of these can
    /// be used.
    std::vector<BackendServer *> preferred;

    [[nodiscard]] bool hasUsableServer() const;
};

/// All servers that are registered, by service.
///
/// Where the fleet has more instances than a server takes connections, each instance keeps
/// connections to some of a service's servers only: those of its own data centre first, the others
/// by an order of its own, so that the instances together reach all servers alike.
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

    /// The policy knows another number of instances now.
    void onFleetSize();

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
    /// A request was sent to the service for the first time.
    void noteFirst(ServicePool &pool)
    {
        pool.extras.noteFirst(m_policy.extras, m_context.timer.now());
    }

private:
    void tidy();
    void warmUpLater(const ServerId &server);
    void warmUpSome();
    /// To be called when the servers of the pool, their cap or the number of instances changed.
    void share(ServicePool &pool);
    [[nodiscard]] int connectionLimit(const ServicePool &pool) const;
    [[nodiscard]] std::size_t preferredCount(const ServicePool &pool) const;
    [[nodiscard]] std::vector<ServerCandidate>
    candidatesAmong(const std::vector<BackendServer *> &servers,
                    const std::vector<BackendServer *> &excluded, Duration usualLatency) const;

    ServerContext m_context;
    RandomSource &m_random;
    const GatewayPolicy &m_policy;
    DataCentreId m_dataCentre;
    /// Makes the order of servers differ between instances.
    TimePoint m_started;
    std::uint64_t m_orderSeed;
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
