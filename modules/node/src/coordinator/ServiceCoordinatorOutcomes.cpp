#include "coordinator/ServiceCoordinator.h"

#include <algorithm>

namespace oleander {

ActiveQuery *ServiceCoordinator::removeAttempt(SubRequestId attempt, std::size_t &position,
                                               Attempt &removed)
{
    const auto owner = m_attemptOwners.find(attempt);
    if (owner == m_attemptOwners.end())
        return nullptr;
    const auto found = m_active.find(owner->second.query);
    position = owner->second.position;
    m_attemptOwners.erase(owner);
    if (found == m_active.end())
        return nullptr;
    ShardTask &task = found->second->tasks[position];
    const auto sent = std::ranges::find(task.attempts, attempt, &Attempt::id);
    removed = *sent;
    task.attempts.erase(sent);
    return found->second.get();
}

void ServiceCoordinator::onAttemptReply(std::size_t server, const SubReply &reply, Duration latency)
{
    if (reply.kind == ReplyKind::Ok)
        m_latency.add(latency);
    if (reply.kind == ReplyKind::Draining)
        m_pool.onDrainingReply(server);
    if (reply.kind == ReplyKind::Shed) {
        m_pool.onShedReply(server);
        noteShed(m_extraLoadBudget);
    }
    std::size_t position = 0;
    Attempt removed;
    ActiveQuery *active = removeAttempt(reply.id, position, removed);
    reportSubRequest(server, reply.kind, latency, removed.isExtra);
    if (!active)
        return;
    const PartitionMap &map = *active->plan.map;
    const bool isFromPlan = reply.snapshot == map.snapshot
                            && reply.shard == map.shards[active->tasks[position].shard].id;
    const bool hasDocuments = reply.kind == ReplyKind::Ok || reply.kind == ReplyKind::AlreadyRan;
    if (hasDocuments && isFromPlan) {
        handleDocuments(*active, position, reply);
        return;
    }
    if (hasDocuments) {
        m_context.log.record(EventId::ServerWrongSnapshot, active->query.request,
                             m_pool.server(server).info.id.text());
        active->needsNewerMap = true;
        failTask(*active, position, ErrorKind::SnapshotGone, true);
        return;
    }
    handleRefusal(*active, position, server, reply);
}

void ServiceCoordinator::handleDocuments(ActiveQuery &active, std::size_t position,
                                         const SubReply &reply)
{
    ShardTask &task = active.tasks[position];
    noteHarmless(m_crashHistory, active.fingerprint, m_context.timers.now(),
                 crashRulesOf(active.policy));
    if (task.state == TaskState::Answered || task.state == TaskState::Missing)
        return;
    addPart(active.merge, position, reply.documents);
    task.state = TaskState::Answered;
    --active.openTasks;
    --m_openTasks;
    --m_openTasksOfCaller[active.query.caller];
    for (const Attempt &outstanding : task.attempts) {
        m_attemptOwners.erase(outstanding.id);
        m_pool.cancel(outstanding.server, outstanding.id);
    }
    task.attempts.clear();
    if (active.dispatchMode != DispatchMode::All) {
        const ActiveQueryId id = active.id;
        active.dispatchMode = DispatchMode::All;
        dispatchHeld(active);
        if (!m_active.contains(id))
            return;
    }
    finishIfDone(active);
}

void ServiceCoordinator::handleRefusal(ActiveQuery &active, std::size_t position,
                                       std::size_t server, const SubReply &reply)
{
    switch (reply.kind) {
    case ReplyKind::Shed:
        --active.possiblyExecuted;
        failTask(active, position, ErrorKind::Overloaded, true);
        return;
    case ReplyKind::Draining:
        --active.possiblyExecuted;
        failTask(active, position, ErrorKind::NoReplica, true);
        return;
    case ReplyKind::WrongSnapshot:
        --active.possiblyExecuted;
        active.needsNewerMap = true;
        failTask(active, position, ErrorKind::SnapshotGone, true);
        return;
    case ReplyKind::Cancelled:
    case ReplyKind::Failed:
    case ReplyKind::Ok:
    case ReplyKind::AlreadyRan:
        break;
    }
    m_context.log.record(EventId::QueryFailed, active.query.request,
                         m_pool.server(server).info.id.text() + " replied "
                             + std::string(nameOf(reply.kind)));
    failTask(active, position, ErrorKind::ServerFailed, true);
}

void ServiceCoordinator::onAttemptLost(std::size_t server, SubRequestId attempt, AttemptLoss loss)
{
    std::size_t position = 0;
    Attempt removed;
    ActiveQuery *active = removeAttempt(attempt, position, removed);
    reportSubRequest(server, ReplyKind::Failed, m_context.timers.now() - removed.sentAt,
                     removed.isExtra);
    if (!active)
        return;
    const DispatchDecision verdict = decideDispatch(
        m_crashHistory, active->fingerprint, m_context.timers.now(), crashRulesOf(active->policy));
    const bool isBlamed =
        verdict == DispatchDecision::CanaryAlone || verdict == DispatchDecision::Refuse;
    const bool isSuspect = loss == AttemptLoss::ConnectionLost && isBlamed;
    failTask(*active, position, ErrorKind::ServerLost, !isSuspect);
}

void ServiceCoordinator::onServerLost(std::size_t server, const std::vector<SubRequestId> &inFlight)
{
    std::vector<Fingerprint> suspects;
    for (const SubRequestId attempt : inFlight) {
        const auto owner = m_attemptOwners.find(attempt);
        if (owner == m_attemptOwners.end())
            continue;
        const auto active = m_active.find(owner->second.query);
        if (active != m_active.end())
            suspects.push_back(active->second->fingerprint);
    }
    const ServerId id = m_pool.server(server).info.id;
    noteServerLost(m_crashHistory, id, suspects, m_context.timers.now());
    m_context.log.record(EventId::CrashSuspicion, id.text());
    if (suspects.size() != 1)
        return;
    m_context.broadcastCrash(CrashEvidence{suspects.front(), id});
}

void ServiceCoordinator::failTask(ActiveQuery &active, std::size_t position, ErrorKind kind,
                                  bool mayRetry)
{
    ShardTask &task = active.tasks[position];
    if (task.state == TaskState::Answered || task.state == TaskState::Missing)
        return;
    task.lastError = kind;
    active.lastError = kind;
    if (!task.attempts.empty())
        return;
    // A non-idempotent request is not sent again once its first byte may have been sent.
    const bool isRepeatable = active.query.isIdempotent && mayRetry;
    if (!isRepeatable || task.sends >= active.policy.maximumAttempts) {
        markMissing(active, position, kind);
        return;
    }
    task.state = TaskState::AwaitingRetry;
    if (kind == ErrorKind::SnapshotGone && replan(active))
        return;
    if (takeExtra(m_extraLoadBudget))
        dispatch(active, position, true);
}

void ServiceCoordinator::markMissing(ActiveQuery &active, std::size_t position, ErrorKind kind)
{
    ShardTask &task = active.tasks[position];
    task.state = TaskState::Missing;
    task.lastError = kind;
    active.lastError = kind;
    --active.openTasks;
    --m_openTasks;
    --m_openTasksOfCaller[active.query.caller];
    if (kind == ErrorKind::ServerLost && active.dispatchMode != DispatchMode::All) {
        // A server was lost while it executed the canary, so the other shards are not sent.
        finish(active);
        return;
    }
    if (active.dispatchMode != DispatchMode::All) {
        // A canary that was not executed shows nothing about the query, so the next shard becomes
        // the canary.
        const ActiveQueryId id = active.id;
        const auto held = std::ranges::find(active.tasks, TaskState::Held, &ShardTask::state);
        if (held != active.tasks.end())
            dispatch(active, static_cast<std::size_t>(held - active.tasks.begin()), false);
        if (!m_active.contains(id))
            return;
    }
    finishIfDone(active);
}

void ServiceCoordinator::finishIfDone(ActiveQuery &active)
{
    if (active.openTasks == 0)
        finish(active);
}

void ServiceCoordinator::reportSubRequest(std::size_t server, ReplyKind kind, Duration latency,
                                          bool isExtra)
{
    SubRequestRecord record;
    record.service = m_service;
    record.server = m_pool.server(server).info.id;
    record.latency = latency;
    record.kind = kind;
    record.isExtra = isExtra;
    m_context.observer.onSubRequestFinished(record);
}

} // namespace oleander
