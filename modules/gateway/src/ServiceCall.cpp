#include <oleander/gateway/HttpStatus.h>
#include <oleander/gateway/ServiceCall.h>

#include <algorithm>
#include <utility>

namespace oleander::gateway {

ServiceCall::ServiceCall(ServerFleet &fleet, TimerService &timer, ServiceCallPlan plan)
    : m_fleet(fleet)
    , m_timer(timer)
    , m_plan(std::move(plan))
{
}

ServiceCall::~ServiceCall()
{
    leave();
}

void ServiceCall::start(Callback done)
{
    m_done = std::move(done);
    if (sendNext(false)) {
        armHedge();
        return;
    }
    m_timer.post([self = weak_from_this()] {
        if (const auto call = self.lock())
            call->retryLater();
    });
}

void ServiceCall::leave()
{
    m_done = nullptr;
    m_hedge.reset();
    m_retry.reset();
    for (const AttemptPtr &attempt : m_running)
        attempt->whenEnded = nullptr;
}

void ServiceCall::stopRunning()
{
    for (const AttemptPtr &attempt : m_running) {
        if (attempt->server && attempt->isSent)
            attempt->server->stop(attempt);
    }
    m_running.clear();
}

bool ServiceCall::isRunning() const
{
    return std::ranges::any_of(m_running, [](const AttemptPtr &attempt) {
        return attempt->isSent && attempt->server != nullptr;
    });
}

ExecutionState ServiceCall::ranState() const
{
    if (m_failure)
        return ExecutionState::Ran;
    return m_maybeRan || isRunning() ? ExecutionState::MaybeRan : ExecutionState::NotRun;
}

bool ServiceCall::mayStillSend() const
{
    return m_done && m_timer.now() < m_plan.deadline;
}

std::vector<BackendServer *> ServiceCall::excludedServers(bool isAnyAgain) const
{
    std::vector<BackendServer *> possible = m_executors;
    std::vector<BackendServer *> excluded;
    for (const AttemptPtr &attempt : m_running) {
        if (!attempt->server)
            continue;
        excluded.push_back(attempt->server);
        if (std::ranges::find(possible, attempt->server) == possible.end())
            possible.push_back(attempt->server);
    }
    if (static_cast<int>(possible.size()) >= m_plan.maximumAttempts) {
        std::ranges::copy_if(m_plan.pool->servers, std::back_inserter(excluded),
                             [this](BackendServer *server) {
                                 return std::ranges::find(m_executors, server) == m_executors.end();
                             });
    }
    if (!isAnyAgain)
        std::ranges::copy(m_tried, std::back_inserter(excluded));
    return excluded;
}

bool ServiceCall::sendNext(bool isAnyAgain)
{
    if (!mayStillSend())
        return false;
    BackendServer *server =
        m_fleet.choose(*m_plan.pool, excludedServers(isAnyAgain), m_plan.usualLatency);
    if (!server)
        return false;
    const bool isExtra = m_wasSent || !m_running.empty();
    const ExtraKind kind = m_running.empty() ? ExtraKind::Retry : ExtraKind::Hedge;
    if (kind == ExtraKind::Hedge && !isWorthHedging(*server))
        return false;
    if (isExtra && !m_fleet.takeExtra(*m_plan.pool, kind))
        return false;
    sendTo(*server);
    return true;
}

bool ServiceCall::isWorthHedging(const BackendServer &server) const
{
    const TimePoint now = m_timer.now();
    if (!server.hasRoom())
        return false;
    // Late already: any reply helps.
    if (now >= m_plan.answerBy)
        return true;
    const double expected =
        slownessNow(server.score(), now) * static_cast<double>(m_plan.usualLatency.count());
    return expected <= static_cast<double>((m_plan.answerBy - now).count());
}

void ServiceCall::sendTo(BackendServer &server)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->request = m_plan.request;
    attempt->repeatability = m_plan.repeatability;
    attempt->priority = m_plan.priority;
    attempt->deadline = m_plan.deadline;
    attempt->usualLatency = m_plan.usualLatency;
    attempt->latencies = m_plan.latencies;
    attempt->whenEnded = [self = weak_from_this(), raw = attempt.get(),
                          &server](AttemptResult result) {
        const auto call = self.lock();
        if (!call)
            return;
        const auto found = std::ranges::find(call->m_running, raw, &AttemptPtr::get);
        if (found == call->m_running.end())
            return;
        const AttemptPtr ended = std::move(*found);
        call->m_running.erase(found);
        call->onEnded(*ended, server, std::move(result));
    };
    if (m_sentCount++ == 0)
        m_fleet.noteFirst(*m_plan.pool);
    m_tried.push_back(&server);
    m_running.push_back(attempt);
    server.submit(attempt);
}

void ServiceCall::armHedge()
{
    if (m_plan.repeatability != Repeatability::Idempotent || m_plan.maximumAttempts < 2)
        return;
    m_hedge = m_timer.callAfter(m_plan.hedgeDelay, [this](const TimerTick &) { hedge(); });
}

void ServiceCall::hedge()
{
    if (!m_done || m_running.size() != 1)
        return;
    armHedge();
    const AttemptPtr waiting = m_running.front();
    if (waiting->isSent) {
        sendNext(m_retries > 0);
        return;
    }
    // Still in this instance: it moves to another server, and costs nothing more.
    if (!m_fleet.choose(*m_plan.pool, excludedServers(false), m_plan.usualLatency))
        return;
    m_running.clear();
    waiting->server->stop(waiting);
    sendNext(false);
}

void ServiceCall::onEnded(const Attempt &attempt, BackendServer &server, AttemptResult result)
{
    // What another server at the address turned away has not reached the service.
    m_wasSent = m_wasSent || (attempt.isSent && !result.reply.isMisdirected);
    const bool mayHaveRun = result.end == AttemptEnd::Replied || result.end == AttemptEnd::Lost;
    if (mayHaveRun && std::ranges::find(m_executors, &server) == m_executors.end())
        m_executors.push_back(&server);
    switch (result.end) {
    case AttemptEnd::Replied:
        onReplied(std::move(result));
        return;
    case AttemptEnd::NotSent:
    case AttemptEnd::NotExecuted:
        retryOrFinish();
        return;
    case AttemptEnd::Lost:
        m_maybeRan = true;
        if (m_plan.repeatability == Repeatability::Idempotent)
            retryOrFinish();
        else
            finish();
        return;
    }
}

void ServiceCall::onReplied(AttemptResult result)
{
    const bool isFailure = result.reply.status >= firstServerErrorStatus;
    if (!isFailure || m_plan.repeatability == Repeatability::AtMostOnce) {
        finishWith({std::move(result.reply), ExecutionState::Ran});
        return;
    }
    m_failure = std::move(result.reply);
    retryOrFinish();
}

void ServiceCall::retryOrFinish()
{
    if (m_done && !sendNext(false) && m_running.empty())
        retryLater();
}

void ServiceCall::retryLater()
{
    if (!m_done)
        return;
    const Duration wait = backoffDelay(++m_retries, m_plan.retryWaits, m_fleet.drawRandom());
    if (!m_plan.pool->hasUsableServer() || m_timer.now() + wait > m_plan.lastRetry) {
        finish();
        return;
    }
    m_retry = m_timer.callAfter(wait, [this](const TimerTick &) {
        if (sendNext(true))
            armHedge();
        else if (m_running.empty())
            retryLater();
    });
}

void ServiceCall::finish()
{
    if (m_failure)
        finishWith({std::move(m_failure), ExecutionState::Ran});
    else
        finishWith({std::nullopt, ranState()});
}

void ServiceCall::finishWith(ServiceOutcome outcome)
{
    const auto done = std::exchange(m_done, nullptr);
    leave();
    // The slower of two sendings only keeps its server from other work.
    if (m_plan.repeatability == Repeatability::Idempotent)
        stopRunning();
    if (done)
        done(std::move(outcome));
}

} // namespace oleander::gateway
