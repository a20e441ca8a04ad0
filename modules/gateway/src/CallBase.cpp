#include "Calls.h"

#include <oleander/gateway/HttpStatus.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace oleander::gateway {

namespace {

TimePoint deadlineOf(const CallerRequest &request, const Route &route, const GatewayPolicy &policy)
{
    TimePoint deadline = request.arrived + route.timeout;
    if (request.patience)
        deadline = std::min(deadline, request.arrived + *request.patience - policy.deadlineMargin);
    return deadline;
}

std::string secondsText(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", inMilliseconds(duration) / 1000.0);
    return text.data();
}

} // namespace

CallBase::CallBase(Gateway &gateway, std::shared_ptr<const CallerRequest> request,
                   RouteTablePtr routes, const Route &route, AnswerCallback answer)
    : m_gateway(gateway)
    , m_request(std::move(request))
    , m_routes(std::move(routes))
    , m_route(route)
    , m_latencies(gateway.stateOf(route.id).latencies)
    , m_deadline(deadlineOf(*m_request, route, gateway.m_policy))
    , m_answer(std::move(answer))
{
    ++m_gateway.m_active;
}

CallBase::~CallBase()
{
    --m_gateway.m_active;
}

void CallBase::start()
{
    m_self = shared_from_this();
    const Duration left = m_deadline - m_gateway.m_timer.now();
    m_deadlineTimer = m_gateway.m_timer.callAfter(left, [this](const TimerTick &) {
        if (!isAnswered())
            onDeadline();
    });
    begin();
}

void CallBase::callerLeft()
{
    if (isAnswered())
        return;
    ++m_gateway.m_counts.left;
    m_answer = nullptr;
    record(EventId::CallerLeft, {{"afterMs", inMilliseconds(age())}});
    m_deadlineTimer.reset();
    leaveServers();
    if (m_route.repeatability == Repeatability::AtMostOnce) {
        endCall();
        return;
    }
    stopServersAfter(m_gateway.m_policy.cancelDelay);
}

void CallBase::stopServersAfter(Duration delay)
{
    m_stopTimer = m_gateway.m_timer.callAfter(delay, [this](const TimerTick &) {
        stopServers();
        endCall();
    });
}

void CallBase::answer(CallerAnswer answer)
{
    const auto callback = std::exchange(m_answer, nullptr);
    if (!callback)
        return;
    leaveServers();
    m_deadlineTimer.reset();
    callback(std::move(answer));
    if (m_route.repeatability == Repeatability::Idempotent && isServerBusy())
        stopServersAfter(m_gateway.m_policy.leftoverDelay);
    else
        endCall();
}

void CallBase::refuse(std::string_view cause)
{
    ++m_gateway.m_counts.refused;
    record(EventId::QueryRefused, {{"cause", cause},
                                   {"route", m_route.id.text()},
                                   {"configuration", m_routes->version().value()},
                                   {"afterMs", inMilliseconds(age())}});
    answer({statusUnavailable,
            {{"Retry-After", secondsText(m_gateway.m_policy.retryAfter)}},
            "not run: " + std::string(cause) + "\n"});
}

void CallBase::refuseLater(std::string_view cause)
{
    m_gateway.m_timer.post([self = weak_from_this(), cause] {
        if (const auto call = self.lock())
            call->refuse(cause);
    });
}

void CallBase::fail(int status, std::string_view cause)
{
    ++m_gateway.m_counts.failed;
    record(EventId::QueryFailed, {{"cause", cause},
                                  {"status", status},
                                  {"route", m_route.id.text()},
                                  {"configuration", m_routes->version().value()},
                                  {"afterMs", inMilliseconds(age())}});
    answer({status, {}, std::string(cause) + "\n"});
}

TimePoint CallBase::answerBy() const
{
    return m_request->arrived + m_route.objective - m_gateway.m_policy.answerMargin;
}

ServiceCallPlan CallBase::planFor(const ServiceId &service, TimePoint lastRetry) const
{
    const GatewayPolicy &policy = m_gateway.m_policy;
    // Before there are samples, a share of the objective stands for what is usual.
    constexpr int assumedPart = 4;
    const Duration assumed = m_route.objective / assumedPart;
    ServiceCallPlan plan;
    plan.request = m_request;
    plan.pool = &m_gateway.m_fleet.pool(service);
    plan.repeatability = m_route.repeatability;
    plan.priority = m_route.priority;
    plan.maximumAttempts = m_route.maximumAttempts;
    plan.deadline = m_deadline;
    plan.answerBy = answerBy();
    plan.lastRetry = lastRetry;
    plan.retryWaits = {policy.firstRetryWait, policy.longestRetryWait};
    plan.usualLatency = m_latencies->mean(assumed);
    const Duration patient(static_cast<std::int64_t>(
        policy.hedgeAfter * static_cast<double>(m_route.objective.count())));
    plan.hedgeDelay = std::max(
        {policy.hedgeMinimum, patient, m_latencies->quantile(policy.hedgeQuantile, assumed)});
    plan.latencies = m_latencies;
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

void CallBase::endCall()
{
    m_deadlineTimer.reset();
    m_stopTimer.reset();
    // The call may be gone after this.
    m_gateway.m_timer.post([self = std::exchange(m_self, nullptr)] {});
}

} // namespace oleander::gateway
