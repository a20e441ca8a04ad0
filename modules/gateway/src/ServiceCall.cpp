#include <oleander/decisions/request/HomeRegions.h>
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
    abandon();
}

void ServiceCall::start(Callback done)
{
    m_done = std::move(done);
    m_arrived = m_timer.now();
    m_plan.pool->dispatch->noteRequest(waitingWork(), m_plan.objective);
    if (sendNext(false)) {
        scheduleHedge();
        return;
    }
    m_timer.post([self = weak_from_this()] {
        if (const auto call = self.lock())
            call->retryLater();
    });
}

void ServiceCall::abandon()
{
    m_done = nullptr;
    m_ticket = {};
    m_hedgeTimer.reset();
    m_retryTimer.reset();
    for (const AttemptPtr &attempt : m_running)
        attempt->onFinished = nullptr;
}

void ServiceCall::cancelRunning()
{
    for (const AttemptPtr &attempt : m_running) {
        if (attempt->server && attempt->isSent)
            attempt->server->cancel(attempt);
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
    if (m_failureReply)
        return ExecutionState::Ran;
    return m_maybeRan || isRunning() ? ExecutionState::MaybeRan : ExecutionState::NotRun;
}

bool ServiceCall::maySend() const
{
    return m_done && m_timer.now() < m_plan.deadline;
}

std::vector<BackendServer *> ServiceCall::excludedServers(bool mayReuseTried) const
{
    std::vector<BackendServer *> possibleExecutors = m_possibleExecutors;
    std::vector<BackendServer *> excluded;
    for (const AttemptPtr &attempt : m_running) {
        if (!attempt->server)
            continue;
        excluded.push_back(attempt->server);
        if (std::ranges::find(possibleExecutors, attempt->server) == possibleExecutors.end())
            possibleExecutors.push_back(attempt->server);
    }
    if (static_cast<int>(possibleExecutors.size()) >= m_plan.maximumAttempts) {
        std::ranges::copy_if(
            m_plan.pool->servers, std::back_inserter(excluded), [this](BackendServer *server) {
                return std::ranges::find(m_possibleExecutors, server) == m_possibleExecutors.end();
            });
    }
    if (!mayReuseTried)
        std::ranges::copy(m_triedServers, std::back_inserter(excluded));
    if (!m_plan.homeRegions.empty()) {
        std::ranges::copy_if(m_plan.pool->servers, std::back_inserter(excluded),
                             [this](const BackendServer *server) {
                                 return !isInHomeRegions(m_plan.homeRegions,
                                                         server->registration().dataCentre);
                             });
    }
    return excluded;
}

bool ServiceCall::hasUsableServer() const
{
    return std::ranges::any_of(m_plan.pool->servers, [this](const BackendServer *server) {
        return server->isUsable()
               && isInHomeRegions(m_plan.homeRegions, server->registration().dataCentre);
    });
}

bool ServiceCall::sendNext(bool mayReuseTried)
{
    if (!maySend())
        return false;
    const SendDecision decision = m_fleet.crashGuard().decide(*m_plan.trial);
    if (decision == SendDecision::Wait)
        awaitVerdict();
    if (decision == SendDecision::Wait || decision == SendDecision::Refuse)
        return false;
    const bool isAlone = decision == SendDecision::SendAlone;
    DispatchQueue &dispatch = *m_plan.pool->dispatch;
    const auto tolerated = dispatch.toleratedByHigher(m_plan.priority);
    if (!tolerated || isAlone || !m_running.empty()) {
        const bool isFiltered =
            !isAlone && m_running.empty() && dispatch.isLowerInUse(m_plan.priority);
        BackendServer *server = isFiltered ? chooseServerInTime(mayReuseTried, std::nullopt)
                                           : chooseServer(mayReuseTried, isAlone);
        return server && sendWithinBudget(*server);
    }
    if (!dispatch.isAnyBefore(waitingWork())) {
        if (BackendServer *server = chooseServerInTime(mayReuseTried, tolerated))
            return sendWithinBudget(*server);
    }
    if (!chooseServer(mayReuseTried, false))
        return false;
    m_ticket =
        dispatch.add(waitingWork(), !m_triedServers.empty(),
                     [weak = weak_from_this(), mayReuseTried](bool isRegardlessOfRoom) {
                         const auto call = weak.lock();
                         return !call || call->sendWaiting(mayReuseTried, isRegardlessOfRoom);
                     });
    return true;
}

bool ServiceCall::sendWaiting(bool mayReuseTried, bool isRegardlessOfRoom)
{
    // The request is answered at its deadline.
    if (!maySend())
        return true;
    const SendDecision decision = m_fleet.crashGuard().decide(*m_plan.trial);
    const bool isHeld = decision == SendDecision::Wait || decision == SendDecision::Refuse;
    BackendServer *server = nullptr;
    if (!isHeld) {
        const auto tolerated = m_plan.pool->dispatch->toleratedByHigher(m_plan.priority);
        const bool needsRoom = tolerated && !isRegardlessOfRoom;
        server = needsRoom ? chooseServerInTime(mayReuseTried, tolerated)
                           : chooseServer(mayReuseTried, false);
        if (!server && needsRoom && chooseServer(mayReuseTried, false))
            return false;
    }
    m_ticket = {};
    if (decision == SendDecision::Wait)
        awaitVerdict();
    if (server && sendWithinBudget(*server))
        scheduleHedge();
    else
        retryLater();
    return true;
}

bool ServiceCall::sendWithinBudget(BackendServer &server)
{
    const bool isExtra = m_plan.isRerun || m_wasSent || !m_running.empty();
    const ExtraAttemptKind kind =
        m_running.empty() ? ExtraAttemptKind::Retry : ExtraAttemptKind::Hedge;
    if (kind == ExtraAttemptKind::Hedge && !isWorthHedging(server))
        return false;
    if (isExtra && !m_fleet.takeExtra(*m_plan.pool, kind))
        return false;
    sendTo(server);
    return true;
}

WaitingWork ServiceCall::waitingWork() const
{
    return {m_plan.priority, m_arrived, m_plan.answerBy, m_plan.usualExecution};
}

BackendServer *ServiceCall::chooseServerInTime(bool mayReuseTried,
                                               std::optional<Duration> toleratedByHigher)
{
    const TimePoint now = m_timer.now();
    std::vector<BackendServer *> excluded = excludedServers(mayReuseTried);
    std::vector<BackendServer *> others;
    Duration best = Duration::max();
    for (BackendServer *server : m_plan.pool->servers) {
        if (!server->isUsable() || server->isEjected()
            || std::ranges::find(excluded, server) != excluded.end())
            continue;
        others.push_back(server);
        best = std::min(best, expectedLatency(*server));
    }
    for (BackendServer *server : others) {
        const Duration latency = expectedLatency(*server);
        const bool isTooSlow =
            latency > best && now + latency > m_plan.answerBy && now + best <= m_plan.answerBy;
        if (isTooSlow || (toleratedByHigher && !hasRoom(*server, *toleratedByHigher)))
            excluded.push_back(server);
    }
    return m_fleet.choose(*m_plan.pool, excluded, m_plan.usualLatency);
}

bool ServiceCall::hasRoom(const BackendServer &server, Duration toleratedByHigher) const
{
    const ServerRoom room = m_fleet.roomOf(server);
    const int limit = fillLimit(room, toleratedByHigher, m_plan.usualExecution);
    return hasRoomBelow(room, limit, m_plan.usualExecution);
}

Duration ServiceCall::expectedLatency(const BackendServer &server) const
{
    const double slowness = decayedSlowness(server.score(), m_timer.now());
    return Duration(
        static_cast<std::int64_t>(slowness * static_cast<double>(m_plan.usualLatency.count())));
}

BackendServer *ServiceCall::chooseServer(bool mayReuseTried, bool isAlone)
{
    const std::vector<BackendServer *> excluded = excludedServers(mayReuseTried);
    if (isAlone) {
        std::vector<BackendServer *> busy = excluded;
        std::ranges::copy_if(m_plan.pool->servers, std::back_inserter(busy),
                             [](const BackendServer *server) { return server->inFlight() > 0; });
        if (BackendServer *idle = m_fleet.choose(*m_plan.pool, busy, m_plan.usualLatency))
            return idle;
    }
    return m_fleet.choose(*m_plan.pool, excluded, m_plan.usualLatency);
}

bool ServiceCall::isWorthHedging(const BackendServer &server) const
{
    const TimePoint now = m_timer.now();
    const DispatchQueue &dispatch = *m_plan.pool->dispatch;
    // Requests that have not been sent need the room more than a second attempt does.
    if (dispatch.size() > 0 && dispatch.toleratedByHigher(m_plan.priority))
        return false;
    // Where priorities differ, servers usually have requests, so that a free slot is the question.
    const bool hasRoom = dispatch.isLowerInUse(m_plan.priority) ? server.hasFreeSlotForHedge()
                                                                : server.hasSpareCapacity();
    if (!hasRoom)
        return false;
    // The objective is already missed, so any reply helps.
    return now >= m_plan.answerBy || now + expectedLatency(server) <= m_plan.answerBy;
}

void ServiceCall::sendTo(BackendServer &server)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->request = m_plan.request;
    attempt->idempotency = m_plan.idempotency;
    attempt->priority = m_plan.priority;
    attempt->trial = m_plan.trial;
    attempt->deadline = m_plan.deadline;
    attempt->usualLatency = m_plan.usualLatency;
    attempt->latencies = m_plan.latencies;
    attempt->executions = m_plan.executions;
    attempt->onFinished = [self = weak_from_this(), attemptPtr = attempt.get(),
                           &server](AttemptResult result) {
        const auto call = self.lock();
        if (!call)
            return;
        const auto found = std::ranges::find(call->m_running, attemptPtr, &AttemptPtr::get);
        if (found == call->m_running.end())
            return;
        const AttemptPtr ended = std::move(*found);
        call->m_running.erase(found);
        call->onAttemptFinished(*ended, server, std::move(result));
    };
    if (m_sentCount++ == 0 && !m_plan.isRerun)
        m_fleet.noteFirstAttempt(*m_plan.pool);
    m_plan.pool->dispatch->noteSent(m_plan.priority);
    m_triedServers.push_back(&server);
    m_running.push_back(attempt);
    server.submit(attempt);
}

void ServiceCall::scheduleHedge()
{
    if (m_plan.idempotency != Idempotency::Idempotent || m_plan.maximumAttempts < 2)
        return;
    m_hedgeTimer = m_timer.callAfter(m_plan.hedgeDelay, [this](const TimerTick &) { hedge(); });
}

void ServiceCall::hedge()
{
    if (!m_done || m_running.size() != 1)
        return;
    scheduleHedge();
    const AttemptPtr waiting = m_running.front();
    if (waiting->isSent) {
        sendNext(m_retries > 0);
        return;
    }
    // The request has not been sent yet, so moving it to another server needs no extra attempt.
    if (!m_fleet.choose(*m_plan.pool, excludedServers(false), m_plan.usualLatency))
        return;
    m_running.clear();
    waiting->server->cancel(waiting);
    sendNext(false);
}

void ServiceCall::onAttemptFinished(const Attempt &attempt, BackendServer &server,
                                    AttemptResult result)
{
    // A request rejected by another server at the address has not reached the service.
    m_wasSent = m_wasSent || (attempt.isSent && !result.reply.isMisdirected);
    const bool mayHaveRun =
        result.outcome == AttemptOutcome::Replied || result.outcome == AttemptOutcome::Lost;
    if (mayHaveRun && std::ranges::find(m_possibleExecutors, &server) == m_possibleExecutors.end())
        m_possibleExecutors.push_back(&server);
    switch (result.outcome) {
    case AttemptOutcome::Replied:
        onReplied(std::move(result));
        return;
    case AttemptOutcome::NotSent:
    case AttemptOutcome::NotExecuted:
        retryOrFinish();
        return;
    case AttemptOutcome::Lost:
        m_maybeRan = true;
        if (m_plan.idempotency == Idempotency::Idempotent)
            retryOrFinish();
        else
            finish();
        return;
    }
}

void ServiceCall::onReplied(AttemptResult result)
{
    const bool isFailure = result.reply.status >= firstServerErrorStatus;
    if (!isFailure || m_plan.idempotency == Idempotency::NonIdempotent) {
        finishWith({std::move(result.reply), ExecutionState::Ran});
        return;
    }
    m_failureReply = std::move(result.reply);
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
    const bool isRefused = m_fleet.crashGuard().decide(*m_plan.trial) == SendDecision::Refuse;
    const Duration wait =
        std::max(backoffDelay(++m_retries, m_plan.retryDelays, m_fleet.drawRandom()),
                 m_plan.pool->untilAccepting());
    if (isRefused || !hasUsableServer() || m_timer.now() + wait > m_plan.retryUntil) {
        finish();
        return;
    }
    m_retryTimer = m_timer.callAfter(wait, [this](const TimerTick &) {
        if (sendNext(true))
            scheduleHedge();
        else if (m_running.empty())
            retryLater();
    });
}

void ServiceCall::awaitVerdict()
{
    if (std::exchange(m_isAwaitingVerdict, true))
        return;
    CrashGuard::awaitEvidence(*m_plan.trial, [self = weak_from_this()] {
        const auto call = self.lock();
        if (!call)
            return;
        call->m_isAwaitingVerdict = false;
        if (!call->m_done || !call->m_running.empty())
            return;
        call->m_retryTimer.reset();
        if (call->sendNext(true))
            call->scheduleHedge();
        else
            call->retryLater();
    });
}

void ServiceCall::finish()
{
    if (m_failureReply)
        finishWith({std::move(m_failureReply), ExecutionState::Ran});
    else
        finishWith({std::nullopt, ranState(), m_plan.pool->untilAccepting()});
}

void ServiceCall::finishWith(ServiceOutcome outcome)
{
    const auto done = std::exchange(m_done, nullptr);
    abandon();
    // The slower of two attempts would only occupy its server.
    if (m_plan.idempotency == Idempotency::Idempotent)
        cancelRunning();
    if (done)
        done(std::move(outcome));
}

} // namespace oleander::gateway
