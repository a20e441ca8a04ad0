#include "coordinator/ServiceCoordinator.h"

#include <algorithm>

namespace oleander {

namespace {

/// How often one query may start anew on a newer partition map.
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

void ServiceCoordinator::beat(TimePoint now, bool isAfterPause)
{
    m_pool.maintain(now, m_latency.mean(assumedLatency), isAfterPause);
    expireCrashRecords(m_crashes, now, m_policy);
    expireRequests(m_requests, now, m_policy);
    for (std::size_t server = 0; server < m_linesOfServer.size(); ++server)
        onCapacity(server);
}

void ServiceCoordinator::tickQuery(ActiveQuery &active, TimePoint now)
{
    if (now >= active.deadline || isOutOfPatience(active, now)) {
        finish(active);
        return;
    }
    if (active.needsNewerMap && replan(active))
        return;
    const ActiveQueryId id = active.id;
    widenCanary(active, now);
    if (!m_active.contains(id))
        return;
    retryWaiting(active);
    if (!m_active.contains(id))
        return;
    const bool mayHedge = active.query.isIdempotent && active.policy.hedging && m_lines.total() == 0
                          && active.release == Release::All;
    if (mayHedge) {
        hedgeLate(active, now, hedgeDelayFor(active));
    }
}

void ServiceCoordinator::widenCanary(ActiveQuery &active, TimePoint now)
{
    if (active.release != Release::Canary || now < active.widenAt
        || active.firstSentAt == TimePoint{})
        return;
    const Duration step = now - active.startedAt;
    active.widenAt = now + step;
    ++active.widened;
    if (active.widened == 1) {
        // One more server at first: should the query crash servers, this bounds what it costs. Not
        // the server of the canary, which may be stuck and say nothing of the query.
        const auto next = std::ranges::find_if(active.tasks, [&](const ShardTask &task) {
            return task.state == TaskState::Held && pickServer(active, task, false);
        });
        const auto held = std::ranges::find(active.tasks, TaskState::Held, &ShardTask::state);
        const auto widened = next == active.tasks.end() ? held : next;
        if (widened != active.tasks.end())
            dispatch(active, static_cast<std::size_t>(widened - active.tasks.begin()), false);
        return;
    }
    active.release = Release::All;
    release(active);
}

void ServiceCoordinator::hedgeLate(ActiveQuery &active, TimePoint now, Duration delay)
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
        if (!takeExtra(m_budget))
            return;
        task.isHedged = true;
        sendTo(active, position, *server, true);
    }
}

void ServiceCoordinator::retryWaiting(ActiveQuery &active)
{
    const ActiveQueryId id = active.id;
    for (std::size_t position = 0; position < active.tasks.size(); ++position) {
        if (active.tasks[position].state != TaskState::AwaitingRetry)
            continue;
        if (!takeExtra(m_budget))
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
    if (m_newest->map->snapshot <= active.plan.map->snapshot)
        return false;
    Reason reason;
    auto plan = planQuery(active.query, m_newest->map, reason);
    if (!plan)
        return false;
    cancelAttempts(active);
    const int before = active.openTasks;
    ++active.replans;
    active.needsNewerMap = false;
    active.release = Release::All;
    startPlan(active, std::move(*plan));
    m_work += active.openTasks - before;
    m_workOfCaller[active.query.caller] += active.openTasks - before;
    release(active);
    return true;
}

bool ServiceCoordinator::isOutOfPatience(const ActiveQuery &active, TimePoint now) const
{
    return active.patience == Patience::Tail && active.query.isIdempotent
           && active.merge.answeredCount > 0 && now - active.startedAt >= active.policy.tailLimit;
}

} // namespace oleander
