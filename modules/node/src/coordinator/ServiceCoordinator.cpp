#include "coordinator/ServiceCoordinator.h"

#include <oleander/decisions/request/Admission.h>
#include <oleander/decisions/request/Plan.h>

#include <algorithm>

namespace oleander {

namespace {

/// Subtracted from the deadline to leave time for returning the answer through the entry instance
/// to the caller.
constexpr Duration answerMargin = milliseconds(1);

} // namespace

ServiceCoordinator::ServiceCoordinator(Context context, ServiceId service, WallTime memorySince)
    : m_context(std::move(context))
    , m_service(std::move(service))
    , m_pool({m_context.timers, m_context.servers, m_context.random, m_context.log}, *this)
{
    m_requestHistory.completeSince = memorySince;
    // The servers outlive this process, so attempt ids start at a random number to differ from
    // those of other processes.
    m_lastAttemptId = m_context.random.next() >> 1U;
}

ServiceCoordinator::~ServiceCoordinator() = default;

ActiveQueryId ServiceCoordinator::submit(Query query, const Policy &policy, Duration timeLeft,
                                         std::function<void(Answer)> done)
{
    Reason reason;
    if (!m_newestMap) {
        done(refusal(ErrorKind::UnknownBackend, "no partition map of the service is held"));
        return {};
    }
    auto plan = planQuery(query, m_newestMap->map, reason);
    if (!plan) {
        done(refusal(reason.kind, reason.text));
        return {};
    }
    auto active = std::make_unique<ActiveQuery>();
    active->id = ActiveQueryId(++m_lastQueryId);
    active->urgency = permittedUrgency(query, policy);
    active->patience = query.patience.value_or(policy.patience);
    active->fingerprint = fingerprintOf(m_service, query.payload);
    active->policy = policy;
    active->startedAt = m_context.timers.now();
    active->deadline = active->startedAt + timeLeft - answerMargin;
    active->query = std::move(query);
    active->done = std::move(done);
    startPlan(*active, std::move(*plan));

    Answer refused;
    if (!passesAdmission(*active, timeLeft, refused)
        || !passesHistoryChecks(active->query, policy, refused, active->dispatchMode)) {
        m_context.log.record(EventId::QueryRefused, active->query.request, refused.errorText);
        active->done(std::move(refused));
        return {};
    }
    const ActiveQueryId id = active->id;
    ActiveQuery &started = *active;
    m_openTasksOfCaller[started.query.caller] += started.openTasks;
    m_openTasks += started.openTasks;
    m_active.emplace(id, std::move(active));
    dispatchHeld(started);
    return id;
}

void ServiceCoordinator::abandon(ActiveQueryId id)
{
    const auto found = m_active.find(id);
    if (found == m_active.end())
        return;
    ActiveQuery &active = *found->second;
    if (!active.query.isIdempotent) {
        // A non-idempotent request that was sent continues: its result has to be remembered in case
        // the request is repeated.
        active.done = [](const Answer &) {};
        return;
    }
    cancelAttempts(active);
    removeQuery(id);
}

void ServiceCoordinator::applyPartitionMap(std::shared_ptr<const PartitionMap> map,
                                           const Policy &policy, SectionVersion configuration)
{
    m_configuration = configuration;
    m_policy = policy;
    m_pool.applyPartitionMap(*map, policy);
    m_newestMap = resolve(std::move(map));
    m_queuesOfServer.assign(m_pool.size(), {});
    for (std::size_t shard = 0; shard < m_newestMap->replicas.size(); ++shard) {
        for (const std::size_t server : m_newestMap->replicas[shard])
            m_queuesOfServer[server].push_back(m_newestMap->queues[shard]);
    }
}

SectionVersion ServiceCoordinator::mapVersion() const
{
    return m_newestMap ? m_newestMap->map->version : SectionVersion{};
}

void ServiceCoordinator::setRequestHistoryStart(WallTime completeSince)
{
    m_requestHistory.completeSince = completeSince;
}

void ServiceCoordinator::onCrashNotice(Fingerprint fingerprint, const ServerId &server,
                                       Duration age)
{
    notePeerLoss(m_crashHistory, fingerprint, server, age, m_context.timers.now());
}

int ServiceCoordinator::suspicions() const
{
    return countSuspectedFingerprints(m_crashHistory, m_context.timers.now(),
                                      crashRulesOf(m_policy));
}

std::shared_ptr<const ResolvedMap>
ServiceCoordinator::resolve(std::shared_ptr<const PartitionMap> map)
{
    auto resolved = std::make_shared<ResolvedMap>();
    for (const Shard &shard : map->shards) {
        std::vector<std::size_t> servers;
        for (const ServerId &server : shard.replicas)
            servers.push_back(m_pool.indexOf(server));
        resolved->replicas.push_back(std::move(servers));
        auto queue = m_queueOfShard.find(shard.id);
        if (queue == m_queueOfShard.end())
            queue = m_queueOfShard.emplace(shard.id, m_queues.addQueue()).first;
        resolved->queues.push_back(queue->second);
    }
    resolved->map = std::move(map);
    return resolved;
}

bool ServiceCoordinator::passesAdmission(const ActiveQuery &active, Duration timeLeft,
                                         Answer &refused)
{
    AdmissionFacts facts;
    facts.timeLeft = timeLeft;
    facts.expectedWait = expectedWait(active);
    facts.usualLatency = m_latency.mean(Duration{});
    const auto work = m_openTasksOfCaller.find(active.query.caller);
    facts.callerSubRequests = work == m_openTasksOfCaller.end() ? 0 : work->second;
    facts.totalSubRequests = m_openTasks;
    facts.isQueueing = m_queues.total() > 0;
    Reason reason;
    if (admitQuery(facts, active.urgency, active.policy, reason))
        return true;
    refused = refusal(reason.kind, reason.text);
    return false;
}

bool ServiceCoordinator::passesHistoryChecks(const Query &query, const Policy &policy,
                                             Answer &refused, DispatchMode &mode)
{
    const TimePoint now = m_context.timers.now();
    const Fingerprint fingerprint = fingerprintOf(m_service, query.payload);
    switch (decideDispatch(m_crashHistory, fingerprint, now, crashRulesOf(policy))) {
    case DispatchDecision::Refuse:
        m_context.log.record(EventId::CrashRefusal, query.request, m_service.text());
        refused =
            refusal(ErrorKind::CrashSuspected, "servers were lost while they executed this query");
        return false;
    case DispatchDecision::SendToAll:
        mode = DispatchMode::All;
        break;
    case DispatchDecision::CanaryFirst:
        mode = DispatchMode::Canary;
        break;
    case DispatchDecision::CanaryAlone:
        mode = DispatchMode::CanaryAlone;
        break;
    }
    return query.isIdempotent || passesAtMostOnceCheck(query, policy, refused);
}

bool ServiceCoordinator::passesAtMostOnceCheck(const Query &query, const Policy &policy,
                                               Answer &refused)
{
    Reason reason;
    const AtMostOnceDecision verdict =
        decideAtMostOnce(m_requestHistory, query, m_context.timers.now(),
                         m_context.timers.wallNow(), policy, reason);
    switch (verdict.action) {
    case AtMostOnceDecision::Action::Run:
        return true;
    case AtMostOnceDecision::Action::Replay:
        refused = *verdict.replay;
        return false;
    case AtMostOnceDecision::Action::Refuse:
        break;
    }
    refused = refusal(reason.kind, reason.text);
    refused.ran = answerFor(reason.kind).ran == ExecutionState::NotRun ? ExecutionState::NotRun
                                                                       : ExecutionState::MaybeRan;
    if (refused.ran != ExecutionState::NotRun)
        refused.outcome = Outcome::Unknown;
    return false;
}

void ServiceCoordinator::startPlan(ActiveQuery &active, QueryPlan plan)
{
    active.resolved = m_newestMap;
    active.merge = startMerge(plan);
    active.tasks.clear();
    active.tasks.resize(plan.shards.size());
    for (std::size_t position = 0; position < plan.shards.size(); ++position)
        active.tasks[position].shard = plan.shards[position];
    active.openTasks = static_cast<int>(plan.shards.size());
    active.plan = std::move(plan);
}

void ServiceCoordinator::dispatchHeld(ActiveQuery &active)
{
    const ActiveQueryId id = active.id;
    if (active.tasks.size() > 1 && active.dispatchMode != DispatchMode::All) {
        active.widenCanaryAt = m_context.timers.now() + hedgeDelayFor(active);
        dispatch(active, m_context.random.below(active.tasks.size()), false);
        return;
    }
    for (std::size_t position = 0; position < active.tasks.size(); ++position) {
        if (active.tasks[position].state == TaskState::Held)
            dispatch(active, position, false);
        // dispatch() finishes the query if its last open shard has no live replica.
        if (!m_active.contains(id))
            return;
    }
}

void ServiceCoordinator::finish(ActiveQuery &active)
{
    cancelAttempts(active);
    Answer answer = answerOf(active);
    if (!active.query.isIdempotent)
        noteRequestEnded(m_requestHistory, {active.query.caller, active.query.request}, answer);
    if (answer.outcome == Outcome::Partial)
        m_context.log.record(EventId::QueryPartial, active.query.request, answer.errorText);
    if (answer.outcome == Outcome::Unknown)
        m_context.log.record(EventId::QueryFailed, active.query.request, answer.errorText);
    auto done = std::move(active.done);
    removeQuery(active.id);
    done(std::move(answer));
}

Answer ServiceCoordinator::answerOf(ActiveQuery &active) const
{
    const TimePoint now = m_context.timers.now();
    Answer answer;
    answer.coverage = coverageOf(active.plan, active.merge);
    answer.snapshot = active.plan.map->snapshot;
    answer.extraSubRequests = active.extraSends;
    answer.coordinator = m_context.self;
    answer.configuration = m_configuration;
    answer.timeLeft = std::max(Duration{}, active.deadline - now);
    const bool wasSent = active.firstSentAt != TimePoint{};
    answer.timings.queued = (wasSent ? active.firstSentAt : now) - active.startedAt;
    answer.timings.executing = wasSent ? now - active.firstSentAt : Duration{};
    answer.timings.total = now - active.startedAt;
    if (answer.coverage.answered == answer.coverage.asked) {
        answer.outcome = Outcome::Answered;
        answer.ran = ExecutionState::Ran;
    } else if (answer.coverage.answered > 0) {
        answer.outcome = Outcome::Partial;
        answer.ran = ExecutionState::Ran;
        answer.errorText = std::to_string(answer.coverage.missing.size()) + " shards are missing";
    } else {
        const bool mayHaveRun = active.possiblyExecuted > 0;
        answer.outcome = mayHaveRun ? Outcome::Unknown : Outcome::Refused;
        answer.ran = mayHaveRun ? ExecutionState::MaybeRan : ExecutionState::NotRun;
        const ErrorKind known = active.lastError;
        answer.error = known == ErrorKind::None ? ErrorKind::DeadlinePassed : known;
        answer.errorText = std::string(answerFor(answer.error).text);
        answer.snapshot = SnapshotId{};
    }
    answer.documents = mergedDocuments(std::move(active.merge), active.query.limit);
    return answer;
}

void ServiceCoordinator::cancelAttempts(ActiveQuery &active)
{
    for (ShardTask &task : active.tasks) {
        for (const Attempt &attempt : task.attempts) {
            m_attemptOwners.erase(attempt.id);
            if (active.query.isIdempotent)
                m_pool.cancel(attempt.server, attempt.id);
            else
                m_pool.abandon(attempt.server, attempt.id);
        }
        task.attempts.clear();
    }
}

void ServiceCoordinator::removeQuery(ActiveQueryId id)
{
    const auto found = m_active.find(id);
    const ActiveQuery &active = *found->second;
    const auto work = m_openTasksOfCaller.find(active.query.caller);
    work->second -= active.openTasks;
    m_openTasks -= active.openTasks;
    if (work->second <= 0)
        m_openTasksOfCaller.erase(work);
    m_active.erase(found);
}

} // namespace oleander
