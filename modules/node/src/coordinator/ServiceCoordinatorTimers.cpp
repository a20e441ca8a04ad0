#include "coordinator/ServiceCoordinator.h"

#include <algorithm>

namespace oleander {

namespace {

/// Maximum number of times that a query is restarted on a newer partition map.
constexpr int replanLimit = 2;

} // namespace

void ServiceCoordinator::tick(TimePoint now)
{
    std::vector<ActiveQueryId> ids;
    ids.reserve(m_active.size());
    for (const auto &entry : m_active)
        ids.push_back(entry.first);
    std::ranges::sort(ids);
    for (const ActiveQueryId id : ids) {
        const auto found = m_active.find(id);
        if (found != m_active.end())
            tickQuery(*found->second, now);
    }
}

void ServiceCoordinator::onHeartbeat(TimePoint now, bool isAfterPause)
{
    m_pool.maintain(now, m_latency.mean(assumedLatency), isAfterPause);
    expireCrashRecords(m_crashHistory, now, crashRulesOf(m_policy));
    expireRequests(m_requestHistory, now, m_policy);
    for (std::size_t server = 0; server < m_queuesOfServer.size(); ++server)
        onCapacityAvailable(server);
}

void ServiceCoordinator::tickQuery(ActiveQuery &active, TimePoint now)
{
    if (now >= active.deadline || hasReachedTailLimit(active, now)) {
        finish(active);
        return;
    }
    if (active.needsNewerMap && replan(active))
        return;
    const ActiveQueryId id = active.id;
    widenCanary(active, now);
    if (!m_active.contains(id))
        return;
    retryFailedTasks(active);
    if (!m_active.contains(id))
        return;
    const bool mayHedge = active.query.isIdempotent && active.policy.hedging
                          && m_queues.total() == 0 && active.dispatchMode == DispatchMode::All;
    if (mayHedge) {
        hedgeSlowTasks(active, now, hedgeDelayFor(active));
    }
}

void ServiceCoordinator::widenCanary(ActiveQuery &active, TimePoint now)
{
    if (active.dispatchMode != DispatchMode::Canary || now < active.widenCanaryAt
        || active.firstSentAt == TimePoint{})
        return;
    const Duration step = now - active.startedAt;
    active.widenCanaryAt = now + step;
    ++active.widenCount;
    if (active.widenCount == 1) {
        // The first step adds only one server, which limits the loss if the query crashes servers.
        // If possible, it is not the server of the canary, which may be slow for other reasons than
        // the query.
        const auto next = std::ranges::find_if(active.tasks, [&](const ShardTask &task) {
            return task.state == TaskState::Held && pickServer(active, task, false);
        });
        const auto held = std::ranges::find(active.tasks, TaskState::Held, &ShardTask::state);
        const auto chosen = next == active.tasks.end() ? held : next;
        if (chosen != active.tasks.end())
            dispatch(active, static_cast<std::size_t>(chosen - active.tasks.begin()), false);
        return;
    }
    active.dispatchMode = DispatchMode::All;
    dispatchHeld(active);
}

void ServiceCoordinator::hedgeSlowTasks(ActiveQuery &active, TimePoint now, Duration delay)
{
    for (std::size_t position = 0; position < active.tasks.size(); ++position) {
        ShardTask &task = active.tasks[position];
        if (task.state != TaskState::Sent || task.isHedged || task.attempts.size() != 1)
            continue;
        if (now - task.attempts.front().sentAt < delay)
            continue;
        const auto server = pickServer(active, task, false);
        if (!server)
            continue;
        if (!takeExtra(m_extraLoadBudget))
            return;
        task.isHedged = true;
        sendTo(active, position, *server, true);
    }
}

void ServiceCoordinator::retryFailedTasks(ActiveQuery &active)
{
    const ActiveQueryId id = active.id;
    for (std::size_t position = 0; position < active.tasks.size(); ++position) {
        if (active.tasks[position].state != TaskState::AwaitingRetry)
            continue;
        if (!takeExtra(m_extraLoadBudget))
            return;
        dispatch(active, position, true);
        if (!m_active.contains(id))
            return;
    }
}

Duration ServiceCoordinator::hedgeDelayFor(const ActiveQuery &active) const
{
    return hedgeDelay(active.policy,
                      m_latency.quantile(active.policy.hedgeQuantile, assumedLatency));
}

bool ServiceCoordinator::replan(ActiveQuery &active)
{
    if (!active.query.isIdempotent || active.replans >= replanLimit)
        return false;
    if (m_newestMap->map->snapshot <= active.plan.map->snapshot)
        return false;
    Reason reason;
    auto plan = planQuery(active.query, m_newestMap->map, reason);
    if (!plan)
        return false;
    cancelAttempts(active);
    const int before = active.openTasks;
    ++active.replans;
    active.needsNewerMap = false;
    active.dispatchMode = DispatchMode::All;
    startPlan(active, std::move(*plan));
    m_openTasks += active.openTasks - before;
    m_openTasksOfCaller[active.query.caller] += active.openTasks - before;
    dispatchHeld(active);
    return true;
}

bool ServiceCoordinator::hasReachedTailLimit(const ActiveQuery &active, TimePoint now) const
{
    return active.patience == Patience::Tail && active.query.isIdempotent
           && active.merge.answeredCount > 0 && now - active.startedAt >= active.policy.tailLimit;
}

} // namespace oleander
