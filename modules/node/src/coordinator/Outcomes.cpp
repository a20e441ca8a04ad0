#include "coordinator/ServiceCoordinator.h"

#include <algorithm>

namespace oleander {

ActiveQuery *ServiceCoordinator::takeAttempt(SubRequestId attempt, std::size_t &position,
                                             Attempt &taken)
{
    const auto owner = m_owners.find(attempt);
    if (owner == m_owners.end())
        return nullptr;
    const auto found = m_active.find(owner->second.query);
    position = owner->second.position;
    m_owners.erase(owner);
    if (found == m_active.end())
        return nullptr;
    ShardTask &task = found->second->tasks[position];
    const auto sent = std::ranges::find(task.attempts, attempt, &Attempt::id);
    taken = *sent;
    task.attempts.erase(sent);
    return found->second.get();
}

void ServiceCoordinator::onAttemptReply(std::size_t server, const SubReply &reply, Duration latency)
{
    if (reply.kind == ReplyKind::Ok)
        m_latency.add(latency);
    if (reply.kind == ReplyKind::Draining)
        m_pool.noteDrainingReply(server);
    if (reply.kind == ReplyKind::Shed) {
        m_pool.noteShedReply(server);
        noteShed(m_budget);
    }
    std::size_t position = 0;
    Attempt taken;
    ActiveQuery *active = takeAttempt(reply.id, position, taken);
    record(server, reply.kind, latency, taken.isExtra);
    if (!active)
        return;
    const PartitionMap &map = *active->plan.map;
    const bool isFromPlan = reply.snapshot == map.snapshot
                            && reply.shard == map.shards[active->tasks[position].shard].id;
    const bool hasDocuments = reply.kind == ReplyKind::Ok || reply.kind == ReplyKind::AlreadyRan;
    if (hasDocuments && isFromPlan) {
        takeDocuments(*active, position, reply);
        return;
    }
    if (hasDocuments) {
        m_context.log.record(EventId::ServerWrongSnapshot, active->query.request,
                             m_pool.server(server).info.id.text());
        active->needsNewerMap = true;
        failTask(*active, position, ErrorKind::SnapshotGone, true);
        return;
    }
    takeRefusal(*active, position, server, reply);
}

void ServiceCoordinator::takeDocuments(ActiveQuery &active, std::size_t position,
                                       const SubReply &reply)
{
    ShardTask &task = active.tasks[position];
    noteHarmless(m_crashes, active.fingerprint, m_context.timers.now(), active.policy);
    if (task.state == TaskState::Answered || task.state == TaskState::Missing)
        return;
    addPart(active.merge, position, reply.documents);
    task.state = TaskState::Answered;
    --active.openTasks;
    --m_work;
    --m_workOfCaller[active.query.caller];
    for (const Attempt &loser : task.attempts) {
        m_owners.erase(loser.id);
        m_pool.cancel(loser.server, loser.id);
    }
    task.attempts.clear();
    if (active.release != Release::All) {
        const ActiveQueryId id = active.id;
        active.release = Release::All;
        release(active);
        if (!m_active.contains(id))
            return;
    }
    finishIfDone(active);
}

void ServiceCoordinator::takeRefusal(ActiveQuery &active, std::size_t position, std::size_t server,
                                     const SubReply &reply)
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
    Attempt taken;
    ActiveQuery *active = takeAttempt(attempt, position, taken);
    record(server, ReplyKind::Failed, m_context.timers.now() - taken.sentAt, taken.isExtra);
    if (!active)
        return;
    const DispatchDecision verdict =
        decideDispatch(m_crashes, active->fingerprint, m_context.timers.now(), active->policy);
    const bool isBlamed =
        verdict == DispatchDecision::CanaryAlone || verdict == DispatchDecision::Refuse;
    const bool isSuspect = loss == AttemptLoss::ConnectionLost && isBlamed;
    failTask(*active, position, ErrorKind::ServerLost, !isSuspect);
}

void ServiceCoordinator::onServerLost(std::size_t server, const std::vector<SubRequestId> &inFlight)
{
    std::vector<Fingerprint> suspects;
    for (const SubRequestId attempt : inFlight) {
        const auto owner = m_owners.find(attempt);
        if (owner == m_owners.end())
            continue;
        const auto active = m_active.find(owner->second.query);
        if (active != m_active.end())
            suspects.push_back(active->second->fingerprint);
    }
    const ServerId id = m_pool.server(server).info.id;
    noteServerLost(m_crashes, id, suspects, m_context.timers.now());
    m_context.log.record(EventId::CrashSuspicion, id.text());
    if (suspects.size() != 1)
        return;
    m_context.spreadCrash(CrashEvidence{suspects.front(), id});
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
    // The first byte of a non-idempotent request has left: it is not sent again.
    const bool isRepeatable = active.query.isIdempotent && mayRetry;
    if (!isRepeatable || task.sends >= active.policy.maximumAttempts) {
        giveUp(active, position, kind);
        return;
    }
    task.state = TaskState::AwaitingRetry;
    if (kind == ErrorKind::SnapshotGone && replan(active))
        return;
    if (takeExtra(m_budget))
        dispatch(active, position, true);
}

void ServiceCoordinator::giveUp(ActiveQuery &active, std::size_t position, ErrorKind kind)
{
    ShardTask &task = active.tasks[position];
    task.state = TaskState::Missing;
    task.lastError = kind;
    active.lastError = kind;
    --active.openTasks;
    --m_work;
    --m_workOfCaller[active.query.caller];
    if (kind == ErrorKind::ServerLost && active.release != Release::All) {
        // The canary did not come back: the rest is not sent.
        finish(active);
        return;
    }
    if (active.release != Release::All) {
        // A canary that could not run says nothing; the next shard takes its place.
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

void ServiceCoordinator::record(std::size_t server, ReplyKind kind, Duration latency, bool isExtra)
{
    SubRequestRecord row;
    row.service = m_service;
    row.server = m_pool.server(server).info.id;
    row.latency = latency;
    row.kind = kind;
    row.isExtra = isExtra;
    m_context.observer.onSubRequestFinished(row);
}

} // namespace oleander
