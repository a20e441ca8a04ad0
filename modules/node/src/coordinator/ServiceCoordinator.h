#pragma once

#include "coordinator/ActiveQuery.h"
#include "coordinator/ServerPool.h"
#include "coordinator/WaitingLines.h"

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

/// Evidence that a server was lost to a query, for the other coordinators of the service.
struct CrashEvidence
{
    Fingerprint fingerprint;
    ServerId server;
};

/// Answers the queries of one service: plans, admits, scatters, hedges, cancels and merges.
///
/// It owns the connections to the service's servers and the memories that protect them. Everything
/// happens on one thread. Each submitted query gets exactly one answer unless it is abandoned. See
/// QueryNode, which finds the coordinator of a query.
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
        /// Tells the other coordinators of the service.
        std::function<void(const CrashEvidence &)> spreadCrash;
    };

    ServiceCoordinator(Context context, ServiceId service, WallTime memorySince);
    ~ServiceCoordinator() override;

    // Queries
    /// Takes a query with its policy and the time left. `done` may be called before the return.
    ActiveQueryId submit(Query query, const Policy &policy, Duration timeLeft,
                         std::function<void(Answer)> done);
    /// Nobody waits for the answer any more; what is in flight is cancelled.
    void abandon(ActiveQueryId query);
    [[nodiscard]] std::size_t activeQueries() const { return m_active.size(); }

    // What is published
    /// Puts a newer partition map in force for queries to come.
    void adopt(std::shared_ptr<const PartitionMap> map, const Policy &policy,
               SectionVersion configuration);
    [[nodiscard]] SectionVersion mapVersion() const;
    /// Requests issued before this may have been executed elsewhere.
    void startRequestMemoryAt(WallTime completeSince);

    // Time
    /// Hedges, retries, gives up what is late. Called each millisecond while queries are active.
    void tick(TimePoint now);
    /// Looks after connections and memories. Called on each beat; `isAfterPause` voids conclusions
    /// from elapsed time.
    void beat(TimePoint now, bool isAfterPause);

    // Evidence and status
    void onCrashNotice(Fingerprint fingerprint, const ServerId &server, Duration age);
    [[nodiscard]] int connections() const { return m_pool.connections(); }
    [[nodiscard]] std::size_t waiting() const { return m_lines.total(); }
    [[nodiscard]] int suspicions() const;

private:
    /// Latency of a sub-request until enough of them were seen.
    static constexpr Duration assumedLatency = milliseconds(10);

    using ActiveQueries = std::unordered_map<ActiveQueryId, std::unique_ptr<ActiveQuery>>;

    struct AttemptOwner
    {
        ActiveQueryId query;
        std::size_t position = 0;
    };

    // Start and end of a query
    bool passesMemories(const Query &query, const Policy &policy, Answer &refused,
                        Release &release);
    bool passesAtMostOnce(const Query &query, const Policy &policy, Answer &refused);
    bool passesAdmission(const ActiveQuery &active, Duration timeLeft, Answer &refused);
    void startPlan(ActiveQuery &active, QueryPlan plan);
    void release(ActiveQuery &active);
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
    void onCapacity(std::size_t server) override;
    void onServerLost(std::size_t server, const std::vector<SubRequestId> &inFlight) override;

    // Outcomes of attempts
    ActiveQuery *takeAttempt(SubRequestId attempt, std::size_t &position, Attempt &taken);
    void takeDocuments(ActiveQuery &active, std::size_t position, const SubReply &reply);
    void takeRefusal(ActiveQuery &active, std::size_t position, std::size_t server,
                     const SubReply &reply);
    void failTask(ActiveQuery &active, std::size_t position, ErrorKind kind, bool mayRetry);
    void giveUp(ActiveQuery &active, std::size_t position, ErrorKind kind);
    void finishIfDone(ActiveQuery &active);
    void record(std::size_t server, ReplyKind kind, Duration latency, bool isExtra);

    // Time
    void tickQuery(ActiveQuery &active, TimePoint now);
    void widenCanary(ActiveQuery &active, TimePoint now);
    void hedgeLate(ActiveQuery &active, TimePoint now, Duration delay);
    void retryWaiting(ActiveQuery &active);
    /// How long a sub-request of this query runs before another replica is asked.
    [[nodiscard]] Duration hedgeDelayFor(const ActiveQuery &active) const;
    bool replan(ActiveQuery &active);
    [[nodiscard]] bool isOutOfPatience(const ActiveQuery &active, TimePoint now) const;

    std::shared_ptr<const ResolvedMap> resolve(std::shared_ptr<const PartitionMap> map);

    Context m_context;
    ServiceId m_service;
    ServerPool m_pool;
    WaitingLines m_lines;
    std::map<ShardId, std::size_t> m_lineOfShard;
    /// For each server of the pool, the lines of the shards it holds in the newest map.
    std::vector<std::vector<std::size_t>> m_linesOfServer;
    std::shared_ptr<const ResolvedMap> m_newest;
    SectionVersion m_configuration;
    Policy m_policy;
    ActiveQueries m_active;
    std::unordered_map<SubRequestId, AttemptOwner> m_owners;
    std::unordered_map<CallerId, int> m_workOfCaller;
    int m_work = 0;
    LatencyWindow m_latency;
    ExtraLoadBudget m_budget;
    CrashMemory m_crashes;
    RequestMemory m_requests;
    std::uint64_t m_lastQuery = 0;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace oleander
