#pragma once

#include <oleander/decisions/request/LatencyWindow.h>
#include <oleander/gateway/BackendServer.h>
#include <oleander/gateway/DispatchQueue.h>
#include <oleander/gateway/RouteTable.h>
#include <oleander/ports/RandomSource.h>

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace oleander::gateway {

/// The servers of one service.
struct ServicePool
{
    ServiceId id;
    int connectionCap = 0;
    ColdStartRules coldStart;
    std::string healthPath;
    ExtraBudget extraBudget;
    std::vector<BackendServer *> servers;
    /// Servers to which this instance keeps connections. The others are used only when none of
    /// these is available.
    std::vector<BackendServer *> preferred;
    /// Those of the preferred servers to which an idle connection is kept.
    std::vector<BackendServer *> keptConnected;
    /// True when requests for this service are parts of gathered requests.
    bool isShard = false;
    /// Requests that wait here for room at the servers.
    std::shared_ptr<DispatchQueue> dispatch;

    [[nodiscard]] bool hasUsableServer() const;
    /// Time until a usable server that is not ejected accepts a request.
    [[nodiscard]] Duration untilAccepting() const;
};

/// How the instances share the connections and the extra attempts of shards.
struct ShardSharing
{
    /// Number of instances that coordinate gathered requests. Without any, all instances share
    /// equally.
    int coordinators = 0;
    /// True when this instance is one of them. The others keep no connections to shards.
    bool isCoordinator = false;

    bool operator==(const ShardSharing &) const = default;
};

/// All registered servers, grouped by service.
///
/// If the fleet has more instances than a server accepts connections, each instance connects to
/// only some of a service's servers: first those in its own data centre, then others in an order
/// that differs between instances, so that the load is spread evenly over all servers.
class ServerFleet
{
public:
    ServerFleet(ServerLinkFactory &links, TimerService &timer, RandomSource &random, EventLog &log,
                const GatewayPolicy &policy, DataCentreId dataCentre);

    // Updates
    /// Called when a registration changed, with null if it was removed.
    void onRegistration(const ServerId &server, const ServerRegistration *registration);
    /// Called when a configuration takes effect. Only its services get connections.
    void onConfiguration(const GatewayConfiguration &configuration);

    /// Sets the data centres whose servers must get no requests. Unknown ones have no effect until
    /// servers of theirs register.
    void setEvacuated(std::set<DataCentreId> dataCentres);
    /// Called when the number of instances in the policy changed.
    void onInstanceCountChanged();
    /// Sets how shards are shared. Connections follow.
    void setShardSharing(const ShardSharing &sharing);

    /// Sets the instances of which some may send to a cold server while not all can. All instances
    /// must be given the same ones; without any, cold servers with a limit get no requests in a
    /// large fleet.
    void setColdSenders(const InstanceId &self, std::vector<InstanceId> candidates);

    // Shards
    /// Data centres that have at least half as many servers of shards as the one with the most,
    /// except evacuated ones.
    [[nodiscard]] std::vector<DataCentreId> shardDataCentres() const;
    /// The lowest connection cap of a shard, or nothing if there are no shards.
    [[nodiscard]] std::optional<int> shardConnectionCap() const;

    /// Whether the pool has a server in the own data centre that can be expected to answer a part
    /// in time: usable, neither slow nor failing.
    [[nodiscard]] bool hasSoundLocalServer(const ServicePool &pool, Duration usualLatency) const;

    // Requests
    /// Returns the pool of a service. Pools are created on first use and never removed.
    ServicePool &pool(const ServiceId &service);
    /// Chooses a usable server of the pool that is neither in `excluded` nor ejected, or returns
    /// null.
    BackendServer *choose(ServicePool &pool, const std::vector<BackendServer *> &excluded,
                          Duration usualLatency);
    /// The room of a server, with the pace at which it has replied lately if it states none.
    [[nodiscard]] ServerRoom roomOf(const BackendServer &server) const;
    /// Expected time until `work` would be executed by a server of the pool, because of requests
    /// that wait here or at the servers.
    [[nodiscard]] Duration expectedWait(const ServicePool &pool, const WaitingWork &work) const;
    [[nodiscard]] std::size_t connections() const;
    /// Requests and parts that wait here for room at servers, and those that have waited so far.
    [[nodiscard]] std::size_t waitingRequests() const;
    [[nodiscard]] std::uint64_t waitedRequests() const;
    /// Number of servers that limit the rate of requests.
    [[nodiscard]] std::size_t rateLimitedServers() const;
    /// Number of cold servers whose services limit what they get.
    [[nodiscard]] std::size_t coldServers() const;
    /// Requests sent to such servers, and the times that a request found no other server while they
    /// had no allowance left.
    [[nodiscard]] std::uint64_t coldRequests() const { return m_coldRequests; }
    [[nodiscard]] std::uint64_t heldBackRequests() const { return m_heldBackRequests; }
    [[nodiscard]] std::size_t evacuatedDataCentres() const { return m_evacuated.size(); }
    /// How late the timers of this process fire, at a high quantile.
    [[nodiscard]] Duration wakeUpLateness() const;
    [[nodiscard]] bool isLoadControlled() const { return m_policy.isLoadControlled; }
    [[nodiscard]] CrashGuard &crashGuard() { return m_crashGuard; }
    [[nodiscard]] const CrashGuard &crashGuard() const { return m_crashGuard; }
    /// Takes one extra attempt from the service's budget; false when it is exhausted.
    bool takeExtra(ServicePool &pool, ExtraAttemptKind kind);
    [[nodiscard]] std::uint64_t drawRandom() { return m_random.next(); }
    /// Counts the first attempt of a request to the service.
    void noteFirstAttempt(ServicePool &pool)
    {
        pool.extraBudget.noteFirstAttempt(extraRules(pool), m_context.timer.now());
    }

private:
    /// Assumes that servers are cold after a time in which this process did not run: it may have
    /// missed that they started anew.
    void checkForPause();
    void probeColdServers();
    void assignColdStart(const ServicePool &pool, BackendServer &server, double initialTokens);
    BackendServer *chooseAmongAll(ServicePool &pool, const std::vector<BackendServer *> &excluded,
                                  Duration usualLatency);
    void maintainConnections(const TimerTick &tick);
    void queueWarmUp(const ServerId &server);
    void warmUpNext();
    /// Reassigns connections. Must be called when the pool's servers, the connection cap or the
    /// number of instances changed.
    void assignPreferredServers(ServicePool &pool);
    /// Whether this instance opens connections to the pool ahead and keeps idle ones.
    [[nodiscard]] bool keepsConnections(const ServicePool &pool) const;
    [[nodiscard]] ExtraBudgetRules extraRules(const ServicePool &pool) const;
    /// Number of instances that share a server's connections; nothing if it is not known yet.
    [[nodiscard]] std::optional<int> sharers(const ServicePool &pool) const;
    [[nodiscard]] int connectionLimit(const ServicePool &pool) const;
    [[nodiscard]] std::size_t preferredCount(const ServicePool &pool) const;
    [[nodiscard]] std::vector<ServerCandidate>
    candidatesAmong(const std::vector<BackendServer *> &servers,
                    const std::vector<BackendServer *> &excluded, Duration usualLatency) const;

    CrashGuard m_crashGuard;
    std::uint64_t m_coldRequests = 0;
    std::uint64_t m_heldBackRequests = 0;
    ServerContext m_context;
    RandomSource &m_random;
    const GatewayPolicy &m_policy;
    DataCentreId m_dataCentre;
    /// Seed of the server ranking, which differs between instances.
    TimePoint m_processStart;
    std::uint64_t m_rankSeed;
    std::unordered_map<ServiceId, std::unique_ptr<ServicePool>> m_pools;
    std::unordered_map<ServerId, std::unique_ptr<BackendServer>> m_servers;
    /// Retired servers with requests in flight.
    std::vector<std::unique_ptr<BackendServer>> m_retired;
    /// Servers that wait for their first connection.
    std::vector<ServerId> m_warmUpQueue;
    ShardSharing m_shardSharing;
    std::set<DataCentreId> m_evacuated;
    InstanceId m_self;
    std::vector<InstanceId> m_coldSenders;
    /// When this process was last seen to run.
    TimePoint m_lastRun{};
    LatencyWindow m_wakeUps;
    Subscription m_maintenanceTimer;
    Subscription m_warmUpTimer;
    /// Ends the time after the first configuration in which shards get no connections ahead.
    Subscription m_shardWarmUpTimer;
    bool m_hasConfiguration = false;
    bool m_isShardWarmUpDue = false;
};

} // namespace oleander::gateway
