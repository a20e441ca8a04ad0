#include "coordinator/ServiceCoordinator.h"

#include <oleander/decisions/request/ReplicaChoice.h>

#include <algorithm>

namespace oleander {

namespace {

bool wasTried(const ShardTask &task, std::size_t server)
{
    return std::ranges::find(task.triedServers, server) != task.triedServers.end();
}

bool isExecuting(const ActiveQuery &active, std::size_t server)
{
    return std::ranges::any_of(active.tasks, [&](const ShardTask &task) {
        return std::ranges::find(task.attempts, server, &Attempt::server) != task.attempts.end();
    });
}

} // namespace

void ServiceCoordinator::dispatch(ActiveQuery &active, std::size_t position, bool isExtra)
{
    ShardTask &task = active.tasks[position];
    auto server = pickServer(active, task, false);
    if (!server)
        server = pickServer(active, task, true);
    if (server) {
        sendTo(active, position, *server, isExtra);
        return;
    }
    if (!hasLiveReplica(active, task)) {
        markMissing(active, position, ErrorKind::NoReplica);
        return;
    }
    task.state = TaskState::Queued;
    task.queuedSince = m_context.timers.now();
    m_queues.push(active.resolved->queues[task.shard], active.urgency,
                  QueuedTask{active.id, position, task.queuedSince});
}

std::optional<std::size_t> ServiceCoordinator::pickServer(const ActiveQuery &active,
                                                          const ShardTask &task,
                                                          bool allowTried) const
{
    const TimePoint now = m_context.timers.now();
    const auto &replicas = active.resolved->replicas[task.shard];
    const bool acceptEjected = std::ranges::none_of(
        replicas, [&](std::size_t server) { return m_pool.isEligible(server, now, false); });
    std::vector<ReplicaCandidate> candidates;
    candidates.reserve(replicas.size());
    for (const std::size_t index : replicas) {
        if (!m_pool.isEligible(index, now, acceptEjected))
            continue;
        if (!allowTried && wasTried(task, index))
            continue;
        if (!allowTried && active.dispatchMode == DispatchMode::Canary
            && isExecuting(active, index))
            continue;
        const PooledServer &server = m_pool.server(index);
        if (active.dispatchMode == DispatchMode::CanaryAlone && server.inFlight > 0)
            continue;
        candidates.push_back({index, server.inFlight, m_pool.capacity(index, now),
                              server.health.latency, server.health.reportedLoad, true});
    }
    return chooseReplica(candidates, m_context.random.next());
}

bool ServiceCoordinator::hasLiveReplica(const ActiveQuery &active, const ShardTask &task) const
{
    const TimePoint now = m_context.timers.now();
    const auto &replicas = active.resolved->replicas[task.shard];
    return std::ranges::any_of(replicas, [&](std::size_t index) {
        const PooledServer &server = m_pool.server(index);
        return server.isListed && !server.info.isLeaving && !isDraining(server.health, now)
               && (server.openCount > 0 || server.openingCount > 0 || server.isReserved);
    });
}

void ServiceCoordinator::sendTo(ActiveQuery &active, std::size_t position, std::size_t server,
                                bool isExtra)
{
    ShardTask &task = active.tasks[position];
    const TimePoint now = m_context.timers.now();
    const SubRequest request = subRequestFor(active, position, SubRequestId(++m_lastAttemptId));
    m_attemptOwners[request.id] = AttemptOwner{active.id, position};
    task.state = TaskState::Sent;
    task.attempts.push_back(Attempt{request.id, server, now, isExtra});
    task.triedServers.push_back(server);
    ++task.sends;
    ++active.possiblyExecuted;
    if (active.firstSentAt == TimePoint{})
        active.firstSentAt = now;
    if (isExtra)
        ++active.extraSends;
    else
        earnExtra(m_extraLoadBudget, active.policy.extraLoadBudget);
    m_pool.send(server, request, active.dispatchMode == DispatchMode::CanaryAlone);
}

SubRequest ServiceCoordinator::subRequestFor(const ActiveQuery &active, std::size_t position,
                                             SubRequestId id) const
{
    const ShardTask &task = active.tasks[position];
    SubRequest request;
    request.id = id;
    request.caller = active.query.caller;
    request.request = active.query.request;
    request.service = m_service;
    request.shard = active.plan.map->shards[task.shard].id;
    request.snapshot = active.plan.map->snapshot;
    request.timeLeft = active.deadline - m_context.timers.now();
    request.urgency = active.urgency;
    request.isIdempotent = active.query.isIdempotent;
    request.payload = active.query.payload;
    request.limit = active.query.limit;
    return request;
}

Duration ServiceCoordinator::expectedWait(const ActiveQuery &active) const
{
    if (m_queues.total() == 0)
        return Duration{};
    const Duration latency = m_latency.mean(assumedLatency);
    const TimePoint now = m_context.timers.now();
    std::int64_t longest = 0;
    for (const ShardTask &task : active.tasks) {
        std::int64_t slots = 0;
        for (const std::size_t server : active.resolved->replicas[task.shard]) {
            if (m_pool.isEligible(server, now, true))
                slots += concurrencyLimit(m_pool.server(server).health,
                                          m_pool.server(server).info.slots, active.policy, now);
        }
        const auto ahead = static_cast<std::int64_t>(
            m_queues.countAtOrAbove(active.resolved->queues[task.shard], active.urgency));
        longest = std::max(longest, ahead * latency.count() / std::max<std::int64_t>(1, slots));
    }
    return Duration(longest);
}

void ServiceCoordinator::onCapacityAvailable(std::size_t server)
{
    if (server >= m_queuesOfServer.size() || m_queues.total() == 0)
        return;
    const TimePoint now = m_context.timers.now();
    const auto isStale = [this](const QueuedTask &task) {
        const auto found = m_active.find(task.query);
        return found == m_active.end()
               || found->second->tasks[task.position].state != TaskState::Queued
               || found->second->tasks[task.position].queuedSince != task.since;
    };
    const auto accepts = [&](const QueuedTask &task) {
        const ActiveQuery &active = *m_active.at(task.query);
        const auto &replicas = active.resolved->replicas[active.tasks[task.position].shard];
        const bool isReplica = std::ranges::find(replicas, server) != replicas.end();
        const bool needsIdleServer = active.dispatchMode == DispatchMode::CanaryAlone;
        return isReplica && (!needsIdleServer || m_pool.server(server).inFlight == 0);
    };
    while (m_pool.isEligible(server, now, false)
           && m_pool.server(server).inFlight < m_pool.capacity(server, now)) {
        const auto task = m_queues.pop(m_queuesOfServer[server], isStale, accepts);
        if (!task)
            return;
        ActiveQuery &active = *m_active.at(task->query);
        const bool isExtra = active.tasks[task->position].sends > 0;
        sendTo(active, task->position, server, isExtra);
    }
}

} // namespace oleander
