#pragma once

#include <oleander/core/Query.h>
#include <oleander/decisions/request/Merge.h>
#include <oleander/decisions/request/Plan.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace oleander {

/// One query's number inside a coordinator.
using ActiveQueryId = NumberId<struct ActiveQueryTag>;

/// Where one shard of an active query stands.
enum class TaskState {
    /// Not yet released: the canary has not answered.
    Held,
    /// Waits for a slot.
    Queued,
    /// At least one attempt is in flight.
    Sent,
    /// All attempts failed; another waits for the budget of extra load.
    AwaitingRetry,
    /// Its documents are merged.
    Answered,
    /// Given up.
    Missing,
};

/// One attempt in flight.
struct Attempt
{
    SubRequestId id;
    std::size_t server = 0;
    TimePoint sentAt{};
    bool isExtra = false;
};

/// One shard's part of an active query.
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

/// A partition map with its servers and queues looked up.
struct ResolvedMap
{
    std::shared_ptr<const PartitionMap> map;
    /// For each shard of the map, indices of servers in the pool.
    std::vector<std::vector<std::size_t>> replicas;
    /// For each shard of the map, the index of its waiting line.
    std::vector<std::size_t> lines;
};

/// How many of its shards a query may have sent at once.
enum class Release {
    All,
    /// One, until it answers.
    Canary,
    /// One, to a server with nothing else in flight.
    CanaryAlone,
};

/// A query that a coordinator is working on.
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
    Release release = Release::All;
    /// When the canary's slowness releases more shards.
    TimePoint widenAt{};
    int widened = 0;
    TimePoint startedAt{};
    TimePoint firstSentAt{};
    TimePoint deadline{};
    /// Tasks neither answered nor given up.
    int openTasks = 0;
    /// Attempts that may have been executed.
    int possiblyExecuted = 0;
    int extraSends = 0;
    int replans = 0;
    /// A server refused the pinned snapshot; a newer map is awaited.
    bool needsNewerMap = false;
    ErrorKind lastError = ErrorKind::None;
    std::function<void(Answer)> done;
};

} // namespace oleander
