#pragma once

#include <oleander/core/Query.h>
#include <oleander/decisions/request/Merge.h>
#include <oleander/decisions/request/Plan.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace oleander {

/// Identifies a query within one coordinator.
using ActiveQueryId = NumberId<struct ActiveQueryTag>;

/// Progress of one shard of an active query.
enum class TaskState {
    /// Not sent yet: the canary has not answered.
    Held,
    /// Waits in a queue for a free slot of a server.
    Queued,
    /// At least one attempt is in flight.
    Sent,
    /// All attempts failed; the next one waits until the budget for extra load permits it.
    AwaitingRetry,
    /// The documents of the shard have been merged.
    Answered,
    /// Abandoned: the answer will lack this shard.
    Missing,
};

/// A sub-request to one server that is in flight.
struct Attempt
{
    SubRequestId id;
    std::size_t server = 0;
    TimePoint sentAt{};
    bool isExtra = false;
};

/// State of one shard of an active query.
struct ShardTask
{
    TaskState state = TaskState::Held;
    /// Index of the shard's queue and replicas in the resolved map.
    std::size_t shard = 0;
    std::vector<Attempt> attempts;
    std::vector<std::size_t> triedServers;
    int sends = 0;
    bool isHedged = false;
    TimePoint queuedSince{};
    ErrorKind lastError = ErrorKind::None;
};

/// A partition map together with the indices of its servers and queues.
struct ResolvedMap
{
    std::shared_ptr<const PartitionMap> map;
    /// For each shard of the map, the indices of its servers in the ServerPool.
    std::vector<std::vector<std::size_t>> replicas;
    /// For each shard of the map, the index of its queue in the ShardQueues.
    std::vector<std::size_t> queues;
};

/// How many shards of a query may be sent at once. Sending a canary first limits the damage of a
/// query that may crash servers.
enum class DispatchMode {
    All,
    /// One shard, until it is answered or slow.
    Canary,
    /// One shard, to a server with nothing else in flight.
    CanaryAlone,
};

/// A query that a coordinator is executing.
struct ActiveQuery
{
    ActiveQueryId id;
    Query query;
    Policy policy;
    Urgency urgency = Urgency::Normal;
    Patience patience = Patience::Tail;
    Fingerprint fingerprint;
    std::shared_ptr<const ResolvedMap> resolved;
    QueryPlan plan;
    MergeState merge;
    std::vector<ShardTask> tasks;
    DispatchMode dispatchMode = DispatchMode::All;
    /// When more shards are sent if the canary has not answered by then.
    TimePoint widenCanaryAt{};
    int widenCount = 0;
    TimePoint startedAt{};
    TimePoint firstSentAt{};
    TimePoint deadline{};
    /// Tasks that are neither answered nor missing.
    int openTasks = 0;
    /// Number of attempts that the servers may have executed.
    int possiblyExecuted = 0;
    int extraSends = 0;
    int replans = 0;
    /// A server refused the snapshot of the plan, so a newer map is needed.
    bool needsNewerMap = false;
    ErrorKind lastError = ErrorKind::None;
    std::function<void(Answer)> done;
};

} // namespace oleander
