#include "Calls.h"

#include <oleander/decisions/request/AnswerMargin.h>
#include <oleander/decisions/request/GatherAdmission.h>
#include <oleander/gateway/HttpStatus.h>
#include <oleander/ports/RandomSource.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace oleander::gateway {

namespace {

TimePoint requestDeadline(const CallerRequest &request, const Route &route,
                          const GatewayPolicy &policy)
{
    TimePoint deadline = request.arrived + route.timeout;
    if (request.callerTimeout)
        deadline =
            std::min(deadline, request.arrived + *request.callerTimeout - policy.deadlineMargin);
    return deadline;
}

} // namespace

HttpField retryAfterField(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", inMilliseconds(duration) / 1000.0);
    return {"Retry-After", text.data()};
}

CallTerms callTerms(const CallerRequest &request, const RouteTablePtr &routes, const Route &route,
                    const GatewayPolicy &policy, Duration wakeUpLateness)
{
    CallTerms terms;
    terms.route = {routes, &route};
    terms.configuration = routes->version();
    terms.deadline = requestDeadline(request, route, policy);
    terms.answerBy =
        request.arrived + route.objective - answerMargin({request.callerRoundTrip, wakeUpLateness});
    return terms;
}

CallBase::CallBase(Gateway &gateway, std::shared_ptr<const CallerRequest> request, CallTerms terms,
                   AnswerCallback answer)
    : m_gateway(gateway)
    , m_request(std::move(request))
    , m_terms(std::move(terms))
    , m_route(*m_terms.route)
    , m_trial(gateway.m_fleet.crashGuard().trialOf(*m_request))
    , m_latencies(gateway.routeState(m_route.id).latencies)
    , m_executions(gateway.routeState(m_route.id).executions)
    , m_deadline(m_terms.deadline)
    , m_answer(std::move(answer))
{
    m_gateway.m_calls.insert(this);
}

CallBase::~CallBase()
{
    m_gateway.m_calls.erase(this);
}

void CallBase::start()
{
    m_selfReference = shared_from_this();
    const Duration left = m_deadline - m_gateway.m_timer.now();
    m_deadlineTimer =
        m_gateway.m_timer.callAfter(left, [this](const TimerTick &) { endAtDeadline(); });
    begin();
}

void CallBase::endAtDeadline()
{
    if (!isAnswered())
        onDeadline();
}

void CallBase::onCallerDisconnected()
{
    if (isAnswered())
        return;
    ++m_gateway.m_counts.disconnected;
    m_answer = nullptr;
    record(EventId::CallerLeft, {{"afterMs", inMilliseconds(age())}});
    m_deadlineTimer.reset();
    abandonServerCalls();
    if (m_route.idempotency == Idempotency::NonIdempotent) {
        release();
        return;
    }
    cancelServerCallsAfter(m_gateway.m_policy.cancelDelay);
}

void CallBase::cancelServerCallsAfter(Duration delay)
{
    m_cancelTimer = m_gateway.m_timer.callAfter(delay, [this](const TimerTick &) {
        cancelServerCalls();
        release();
    });
}

void CallBase::answer(CallerAnswer answer)
{
    const auto callback = std::exchange(m_answer, nullptr);
    if (!callback)
        return;
    abandonServerCalls();
    m_deadlineTimer.reset();
    callback(std::move(answer));
    if (m_route.idempotency == Idempotency::Idempotent && isServerBusy())
        cancelServerCallsAfter(m_gateway.m_policy.unneededCancelDelay);
    else
        release();
}

bool CallBase::refuseIfOverloaded(const std::vector<const ServiceId *> &services,
                                  std::size_t missable)
{
    // Another instance may have begun to execute a rerun, so it can not be refused as not run.
    if (!m_gateway.m_policy.isLoadControlled || m_terms.isRerun || services.empty())
        return false;
    ++m_gateway.m_counts.offered;
    const TimePoint now = m_gateway.m_timer.now();
    const ServiceCallPlan plan = planFor(*services.front(), m_deadline);
    const WaitingWork work{m_route.priority, now, plan.answerBy, plan.usualExecution};
    GatherAdmissionFacts facts;
    facts.objectiveLeft = plan.answerBy - now;
    facts.deadlineLeft = m_deadline - now;
    facts.usualExecution = plan.usualExecution;
    std::vector<Duration> waits;
    waits.reserve(services.size());
    for (const ServiceId *service : services) {
        const ServicePool &pool = m_gateway.m_fleet.pool(*service);
        waits.push_back(m_gateway.m_fleet.expectedWait(pool, work));
        facts.isBelowHigher =
            facts.isBelowHigher || pool.dispatch->toleratedByHigher(m_route.priority).has_value();
    }
    facts.expectedWait = requiredWait(waits, missable);
    const AdmissionVerdict verdict = admitGather(facts);
    if (verdict == AdmissionVerdict::Admitted)
        return false;
    const bool isForDeadline = verdict == AdmissionVerdict::DeadlineMissed;
    ++(isForDeadline ? m_gateway.m_counts.refusedForDeadline : m_gateway.m_counts.refusedForLoad);
    const Duration retryAfter = refusalRetryAfter(facts, unitInterval(m_gateway.m_random.next()));
    const Duration limit = isForDeadline ? facts.deadlineLeft : facts.objectiveLeft;
    // The youngest load report of the services that determine the wait.
    Duration reportAge = Duration::max();
    for (const ServiceId *service : services) {
        const ServicePool &pool = m_gateway.m_fleet.pool(*service);
        if (m_gateway.m_fleet.expectedWait(pool, work) < facts.expectedWait)
            continue;
        for (const BackendServer *server : pool.servers)
            reportAge = std::min(reportAge, server->room().reportAge);
    }
    m_gateway.m_timer.post(
        [self = shared_from_this(), facts, limit, reportAge, retryAfter, isForDeadline] {
            if (self->isAnswered())
                return;
            ++self->m_gateway.m_counts.refused;
            self->record(EventId::QueryRefused,
                         {{"cause", isForDeadline ? "deadline" : "load"},
                          {"route", self->m_route.id.text()},
                          {"priority", self->m_route.priority},
                          {"expectedWaitMs", inMilliseconds(facts.expectedWait)},
                          {"limitMs", inMilliseconds(limit)},
                          {"reportAgeMs", inMilliseconds(reportAge)},
                          {"retryAfterMs", inMilliseconds(retryAfter)},
                          {"configuration", self->m_terms.configuration.value()}});
            self->answer({statusUnavailable, {retryAfterField(retryAfter)}, "not run: overload\n"});
        });
    return true;
}

void CallBase::refuse(std::string_view cause, Duration retryAfter)
{
    ++m_gateway.m_counts.refused;
    record(EventId::QueryRefused, {{"cause", cause},
                                   {"route", m_route.id.text()},
                                   {"configuration", m_terms.configuration.value()},
                                   {"afterMs", inMilliseconds(age())}});
    answer({statusUnavailable,
            {retryAfterField(std::max({m_gateway.m_policy.retryAfter, retryAfter,
                                       m_gateway.m_fleet.crashGuard().refusalLeft(*m_trial)}))},
            "not run: " + std::string(cause) + "\n"});
}

void CallBase::refuseLater(std::string_view cause, Duration retryAfter)
{
    m_gateway.m_timer.post([self = weak_from_this(), cause, retryAfter] {
        if (const auto call = self.lock())
            call->refuse(cause, retryAfter);
    });
}

bool CallBase::refuseIfCrashing()
{
    if (m_gateway.m_fleet.crashGuard().decide(*m_trial) != SendDecision::Refuse)
        return false;
    record(EventId::CrashRefusal, {{"fingerprint", m_trial->fingerprint.value()},
                                   {"resource", m_trial->resourceFingerprint().value()}});
    refuseLater("servers were lost while they executed the same request before");
    return true;
}

void CallBase::fail(int status, std::string_view cause)
{
    ++m_gateway.m_counts.failed;
    record(EventId::QueryFailed, {{"cause", cause},
                                  {"status", status},
                                  {"route", m_route.id.text()},
                                  {"configuration", m_terms.configuration.value()},
                                  {"afterMs", inMilliseconds(age())}});
    answer({status, {}, std::string(cause) + "\n"});
}

ServiceCallPlan CallBase::planFor(const ServiceId &service, TimePoint retryUntil) const
{
    const GatewayPolicy &policy = m_gateway.m_policy;
    const Duration objective = std::max(Duration{}, answerBy() - m_request->arrived);
    // Without samples, a fraction of the objective is taken as the typical latency.
    constexpr int assumedObjectiveFraction = 4;
    const Duration assumedLatency = m_route.objective / assumedObjectiveFraction;
    ServiceCallPlan plan;
    plan.request = m_request;
    plan.trial = m_trial;
    plan.pool = &m_gateway.m_fleet.pool(service);
    plan.idempotency = m_route.idempotency;
    plan.priority = m_route.priority;
    plan.maximumAttempts = m_terms.isRerun ? 1 : m_route.maximumAttempts;
    plan.homeRegions = m_route.homeRegions;
    plan.isRerun = m_terms.isRerun;
    plan.deadline = m_deadline;
    plan.answerBy = answerBy();
    plan.retryUntil = retryUntil;
    plan.retryDelays = {policy.initialRetryDelay, policy.maximumRetryDelay};
    plan.usualLatency = m_latencies->mean(assumedLatency);
    // The median, since a few servers may be much slower than usual.
    plan.usualExecution = m_executions->quantile(PerMille{500}, plan.usualLatency);
    const Duration objectivePart(static_cast<std::int64_t>(
        policy.hedgeObjectiveShare * static_cast<double>(m_route.objective.count())));
    plan.hedgeDelay = std::max({policy.minimumHedgeDelay, objectivePart,
                                m_latencies->quantile(policy.hedgeQuantile, assumedLatency)});
    // A later second attempt could not be in time.
    if (policy.isLoadControlled) {
        const Duration latest = objective - 2 * plan.usualExecution;
        plan.hedgeDelay =
            std::min(plan.hedgeDelay, std::max({policy.minimumHedgeDelay, objectivePart, latest}));
    }
    plan.latencies = m_latencies;
    plan.objective = objective;
    plan.executions = m_executions;
    return plan;
}

void CallBase::record(EventId event, EventLog::Fields fields) const
{
    m_gateway.m_log.record(event, m_request->id, fields);
}

Duration CallBase::age() const
{
    return m_gateway.m_timer.now() - m_request->arrived;
}

void CallBase::release()
{
    m_deadlineTimer.reset();
    m_cancelTimer.reset();
    // The call may be destroyed after this.
    m_gateway.m_timer.post([self = std::exchange(m_selfReference, nullptr)] {});
}

} // namespace oleander::gateway
