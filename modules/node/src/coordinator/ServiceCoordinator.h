#pragma once

#include "coordinator/ActiveQuery.h"
#include "coordinator/ServerPool.h"
#include "coordinator/ShardQueues.h"

#include <oleander/core/FleetView.h>
#include <oleander/decisions/request/CrashMemory.h>
#include <oleander/decisions/request/ExtraLoad.h>
#include <oleander/decisions/request/LatencyWindow.h>
#include <oleander/decisions/request/RequestMemory.h>
#include <oleander/ports/QueryObserver.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace oleander {

/// Evidence that a server was lost while it executed a query, for the other coordinators of the
/// service.
struct CrashEvidence
{
    Fingerprint fingerprint;
    ServerId server;
};

/// Executes the queries of one service: plans and admits them, sends their sub-requests to the
/// shards, hedges and cancels sub-requests, and merges the replies.
///
/// It owns the connections to the service's servers, and the crash and request histories that
/// protect the servers. Everything runs on one thread. Each submitted query gets exactly one answer
/// unless it is abandoned. QueryNode finds the coordinator of a query.
class ServiceCoordinator : private ServerPoolListener
{
public:
    struct Context
    {
        TimerService &timers;
        ServerNetwork &servers;
        RandomSource &random;
        EventLog &log;
        QueryObserver &observer;
        InstanceId self;
        /// Sends the evidence to the other coordinators of the service.
        std::function<void(const CrashEvidence &)> broadcastCrash;
    };

    ServiceCoordinator(Context context, ServiceId service, WallTime memorySince);
    ~ServiceCoordinator() override;

    // Queries
    /// Starts a query. `timeLeft` is the time until its deadline. `done` may be called before this
    /// function returns.
    ActiveQueryId submit(Query query, const Policy &policy, Duration timeLeft,
                         std::function<void(Answer)> done);
    /// Called when the answer is no longer needed. Cancels the attempts in flight; a non-idempotent
    /// query runs to completion.
    void abandon(ActiveQueryId query);
    [[nodiscard]] std::size_t activeQueries() const { return m_active.size(); }

    // Published configuration
    /// Uses a newer partition map for new queries.
    void applyPartitionMap(std::shared_ptr<const PartitionMap> map, const Policy &policy,
                           SectionVersion configuration);
    [[nodiscard]] SectionVersion mapVersion() const;
    /// Sets the time since which this coordinator remembers all requests. Requests issued earlier
    /// may have been executed by another coordinator.
    void setRequestHistoryStart(WallTime completeSince);

    // Time
    /// Hedges and retries sub-requests and finishes queries that have run out of time. Called every
    /// millisecond while queries are active.
    void tick(TimePoint now);
    /// Maintains connections and removes expired entries from the histories. Called on
    /// each heartbeat. `isAfterPause` tells that the process was paused, so that elapsed times
    /// are disregarded.
    void onHeartbeat(TimePoint now, bool isAfterPause);

    // Crash notices and status
    void onCrashNotice(Fingerprint fingerprint, const ServerId &server, Duration age);
    [[nodiscard]] int connections() const { return m_pool.connections(); }
    [[nodiscard]] std::size_t waiting() const { return m_queues.total(); }
    [[nodiscard]] int suspicions() const;

private:
    /// Latency assumed for a sub-request until enough latencies have been measured.
    static constexpr Duration assumedLatency = milliseconds(10);

    using ActiveQueries = std::unordered_map<ActiveQueryId, std::unique_ptr<ActiveQuery>>;

    struct AttemptOwner
    {
        ActiveQueryId query;
        std::size_t position = 0;
    };

    // Start and end of a query
    bool passesHistoryChecks(const Query &query, const Policy &policy, Answer &refused,
                             DispatchMode &mode);
    bool passesAtMostOnceCheck(const Query &query, const Policy &policy, Answer &refused);
    bool passesAdmission(const ActiveQuery &active, Duration timeLeft, Answer &refused);
    void startPlan(ActiveQuery &active, QueryPlan plan);
    void dispatchHeld(ActiveQuery &active);
    void finish(ActiveQuery &active);
    [[nodiscard]] Answer answerOf(ActiveQuery &active) const;
    void cancelAttempts(ActiveQuery &active);
    void removeQuery(ActiveQueryId id);

    // Sending
    void dispatch(ActiveQuery &active, std::size_t position, bool isExtra);
    std::optional<std::size_t> pickServer(const ActiveQuery &active, const ShardTask &task,
                                          bool allowTried) const;
    [[nodiscard]] bool hasLiveReplica(const ActiveQuery &active, const ShardTask &task) const;
    void sendTo(ActiveQuery &active, std::size_t position, std::size_t server, bool isExtra);
    [[nodiscard]] SubRequest subRequestFor(const ActiveQuery &active, std::size_t position,
                                           SubRequestId id) const;
    [[nodiscard]] Duration expectedWait(const ActiveQuery &active) const;

    // ServerPoolListener
    void onAttemptReply(std::size_t server, const SubReply &reply, Duration latency) override;
    void onAttemptLost(std::size_t server, SubRequestId attempt, AttemptLoss loss) override;
    void onCapacityAvailable(std::size_t server) override;
    void onServerLost(std::size_t server, const std::vector<SubRequestId> &inFlight) override;

    // Outcomes of attempts
    ActiveQuery *removeAttempt(SubRequestId attempt, std::size_t &position, Attempt &removed);
    void handleDocuments(ActiveQuery &active, std::size_t position, const SubReply &reply);
    void handleRefusal(ActiveQuery &active, std::size_t position, std::size_t server,
                       const SubReply &reply);
    void failTask(ActiveQuery &active, std::size_t position, ErrorKind kind, bool mayRetry);
    void markMissing(ActiveQuery &active, std::size_t position, ErrorKind kind);
    void finishIfDone(ActiveQuery &active);
    void reportSubRequest(std::size_t server, ReplyKind kind, Duration latency, bool isExtra);

    // Time
    void tickQuery(ActiveQuery &active, TimePoint now);
    void widenCanary(ActiveQuery &active, TimePoint now);
    void hedgeSlowTasks(ActiveQuery &active, TimePoint now, Duration delay);
    void retryFailedTasks(ActiveQuery &active);
    /// How long a sub-request of this query runs before it is hedged on another replica.
    [[nodiscard]] Duration hedgeDelayFor(const ActiveQuery &active) const;
    bool replan(ActiveQuery &active);
    [[nodiscard]] bool hasReachedTailLimit(const ActiveQuery &active, TimePoint now) const;

    std::shared_ptr<const ResolvedMap> resolve(std::shared_ptr<const PartitionMap> map);

    Context m_context;
    ServiceId m_service;
    ServerPool m_pool;
    ShardQueues m_queues;
    std::map<ShardId, std::size_t> m_queueOfShard;
    /// For each server of the pool, the queues of the shards that it holds in the newest map.
    std::vector<std::vector<std::size_t>> m_queuesOfServer;
    std::shared_ptr<const ResolvedMap> m_newestMap;
    SectionVersion m_configuration;
    Policy m_policy;
    ActiveQueries m_active;
    std::unordered_map<SubRequestId, AttemptOwner> m_attemptOwners;
    std::unordered_map<CallerId, int> m_openTasksOfCaller;
    int m_openTasks = 0;
    LatencyWindow m_latency;
    ExtraLoadBudget m_extraLoadBudget;
    CrashMemory m_crashHistory;
    RequestMemory m_requestHistory;
    std::uint64_t m_lastQueryId = 0;
    std::uint64_t m_lastAttemptId = 0;
};

} // namespace oleander
