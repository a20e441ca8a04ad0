#include "CoordinatorCall.h"

#include <algorithm>
#include <utility>

namespace oleander::gateway {

namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

} // namespace

CoordinatorCall::CoordinatorCall(GatherDelegation &delegation, TimerService &timer,
                                 const GatewayPolicy &policy, const GatherRules &rules,
                                 Instance coordinator)
    : m_delegation(delegation)
    , m_timer(timer)
    , m_policy(policy)
    , m_rules(rules)
    , m_coordinator(std::move(coordinator))
{
}

void CoordinatorCall::start(PeerGather gather, Callback done)
{
    m_gather = std::move(gather);
    m_done = std::move(done);
    m_startedAt = m_timer.now();
    send(false);
    scheduleProbe();
}

void CoordinatorCall::cancel()
{
    m_probeTimer.reset();
    if (std::exchange(m_done, nullptr))
        m_delegation.peers().cancel(m_call);
}

bool CoordinatorCall::mayHaveHedged() const
{
    return m_timer.now() - m_startedAt >= scaled(m_rules.objective, m_policy.hedgeObjectiveShare);
}

void CoordinatorCall::send(bool withRules)
{
    m_sentAt = m_timer.now();
    const Duration passed = m_sentAt - m_startedAt;
    PeerGather gather = m_gather;
    if (withRules)
        gather.rules = m_rules;
    gather.timeLeft -= passed;
    gather.replyWithin -= passed;
    const Duration timeLeft = gather.timeLeft;
    m_call = m_delegation.peers().call(m_coordinator, std::move(gather), timeLeft,
                                       [weak = weak_from_this(), withRules](PeerOutcome outcome) {
                                           if (const auto self = weak.lock())
                                               self->onOutcome(withRules, std::move(outcome));
                                       });
}

void CoordinatorCall::scheduleProbe()
{
    const Duration delay = std::max(m_policy.minimumCoordinatorProbeDelay,
                                    scaled(m_rules.objective, m_policy.coordinatorProbeShare));
    m_probeTimer = m_timer.callAfter(delay, [this](const TimerTick &) { probe(); });
}

void CoordinatorCall::probe()
{
    m_delegation.prober().probe(m_coordinator, m_policy.coordinatorResponseTime,
                                [weak = weak_from_this()](bool isResponsive) {
                                    const auto self = weak.lock();
                                    if (self && self->m_done)
                                        self->onProbed(isResponsive);
                                });
}

void CoordinatorCall::onProbed(bool isResponsive)
{
    if (isResponsive) {
        scheduleProbe();
        return;
    }
    m_isUnresponsive = true;
    m_delegation.noteFailure(m_coordinator.id, m_gather.request, "no response");
    const Callback done = m_done;
    done(CoordinatorResult::Unresponsive, {});
}

void CoordinatorCall::onOutcome(bool withRules, PeerOutcome outcome)
{
    if (!m_done)
        return;
    auto *reply = outcome.reply ? std::get_if<PeerGatherReply>(&*outcome.reply) : nullptr;
    if (!reply) {
        const bool wasReached = outcome.callStatus != PeerCallStatus::NotProcessed;
        m_delegation.noteFailure(m_coordinator.id, m_gather.request,
                                 wasReached ? "lost with the request" : "not reached");
        finish(wasReached ? CoordinatorResult::Lost : CoordinatorResult::NotReached, {});
        return;
    }
    m_delegation.noteReply(m_coordinator.id, *reply, m_timer.now() - m_sentAt);
    if (reply->needsRules && !withRules)
        send(true);
    else if (reply->needsRules || reply->isBusy)
        finish(CoordinatorResult::Busy, {});
    else
        finish(CoordinatorResult::Replied, std::move(*reply));
}

void CoordinatorCall::finish(CoordinatorResult result, PeerGatherReply reply)
{
    m_probeTimer.reset();
    // The owner may destroy the call in its callback.
    const auto keptAlive = shared_from_this();
    const auto done = std::exchange(m_done, nullptr);
    done(result, std::move(reply));
}

PeerGather makeGather(const GatherDelegation &delegation, const CallerRequest &request,
                      std::uint64_t rulesDigest, Duration timeLeft, Duration untilAnswerBy)
{
    PeerGather gather;
    gather.from = delegation.self();
    gather.request = request.id;
    gather.method = request.method;
    gather.target = request.target;
    gather.host = request.host;
    gather.fields.reserve(request.fields.size());
    for (const HttpField &field : request.fields)
        gather.fields.push_back({field.name, field.value});
    gather.body = request.body;
    gather.rulesDigest = rulesDigest;
    gather.timeLeft = timeLeft;
    gather.replyWithin = untilAnswerBy - delegation.hopTime();
    return gather;
}

} // namespace oleander::gateway
