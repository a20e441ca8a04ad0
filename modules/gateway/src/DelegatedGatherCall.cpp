#include "Calls.h"

#include <oleander/gateway/HttpStatus.h>

#include <algorithm>
#include <utility>

namespace oleander::gateway {

namespace {

/// Coordinators that are asked before the request is executed here. With more, little of the time
/// would be left.
constexpr std::size_t maximumCoordinatorsAsked = 3;

CallerAnswer toCallerAnswer(PeerGatherReply reply)
{
    CallerAnswer answer;
    answer.status = reply.status;
    for (PeerField &field : reply.fields)
        answer.fields.push_back({std::move(field.name), std::move(field.value)});
    answer.body = std::move(reply.body);
    answer.missingShards = reply.missingShards;
    return answer;
}

} // namespace

DelegatedGatherCall::DelegatedGatherCall(Gateway &gateway, GatherDelegation &delegation,
                                         std::shared_ptr<const CallerRequest> request,
                                         CallTerms terms, AnswerCallback answer)
    : CallBase(gateway, std::move(request), std::move(terms), std::move(answer))
    , m_delegation(delegation)
    , m_rules(gatherRules(m_route))
    , m_rulesDigest(digestOf(m_rules))
{
}

void DelegatedGatherCall::begin()
{
    if (!refuseIfCrashing())
        tryNext();
}

void DelegatedGatherCall::tryNext()
{
    const auto next =
        m_tried.size() < maximumCoordinatorsAsked ? m_delegation.choose(m_tried) : std::nullopt;
    if (!next) {
        executeHere();
        return;
    }
    m_tried.push_back(next->id);
    ++(m_mayHaveRun ? m_gateway.m_counts.rerun : m_gateway.m_counts.delegated);
    const TimePoint now = m_gateway.m_timer.now();
    PeerGather gather =
        makeGather(m_delegation, *m_request, m_rulesDigest, m_deadline - now, answerBy() - now);
    gather.isRerun = m_mayHaveRun;
    const auto call = std::make_shared<CoordinatorCall>(m_delegation, m_gateway.m_timer,
                                                        m_gateway.m_policy, m_rules, *next);
    m_calls.push_back(call);
    call->start(std::move(gather),
                [this, raw = call.get()](CoordinatorResult result, PeerGatherReply reply) {
                    onResult(*raw, result, std::move(reply));
                });
}

void DelegatedGatherCall::executeHere()
{
    if (m_localCall || isAnyCallSound())
        return;
    ++m_gateway.m_counts.undelegated;
    CallTerms localTerms = terms();
    localTerms.isRerun = m_mayHaveRun;
    m_localCall = std::make_shared<GatherCall>(
        m_gateway, m_request, std::move(localTerms), [weak = weak_from_this()](CallerAnswer given) {
            const auto self = std::static_pointer_cast<DelegatedGatherCall>(weak.lock());
            if (!self)
                return;
            // A lost coordinator may have executed what could not be executed here.
            if (given.status == statusUnavailable && self->m_mayHaveRun)
                self->fail(statusBadGateway, "coordinator lost");
            else
                self->answer(std::move(given));
        });
    m_localCall->start();
}

void DelegatedGatherCall::onResult(const CoordinatorCall &call, CoordinatorResult result,
                                   PeerGatherReply reply)
{
    if (isAnswered())
        return;
    // Read before the call is removed, which destroys it.
    const Instance coordinator = call.coordinator();
    const bool mayHaveHedged = call.mayHaveHedged();
    if (result != CoordinatorResult::Unresponsive)
        std::erase_if(m_calls, [&call](const auto &held) { return held.get() == &call; });
    switch (result) {
    case CoordinatorResult::Replied:
        onReply(coordinator, std::move(reply));
        return;
    case CoordinatorResult::Busy:
    case CoordinatorResult::NotReached:
        tryNext();
        return;
    case CoordinatorResult::Lost:
        m_mayHaveRun = true;
        if (!m_localCall && !isAnyCallSound())
            rerun(mayHaveHedged);
        return;
    case CoordinatorResult::Unresponsive:
        // It may answer yet, so its call goes on beside the next one. A process that is suspended
        // has most likely not read the request.
        m_mayHaveRun = true;
        if (!m_localCall && !isAnyCallSound())
            rerun(false);
        return;
    }
}

void DelegatedGatherCall::onReply(const Instance &coordinator, PeerGatherReply reply)
{
    const bool isSuccess = reply.status == statusOk;
    // Another coordinator may still succeed.
    if (!isSuccess && (!m_calls.empty() || m_localCall))
        return;
    if (reply.status == statusUnavailable && m_mayHaveRun) {
        // The other coordinator, which is lost, may have executed the request.
        fail(statusBadGateway, "coordinator lost");
        return;
    }
    GatewayCounts &counts = m_gateway.m_counts;
    if (isSuccess) {
        ++counts.answered;
        counts.partial += reply.missingShards > 0 ? 1 : 0;
    } else {
        ++(reply.status == statusUnavailable ? counts.refused : counts.failed);
    }
    record(EventId::QueryAnswered, {{"status", reply.status},
                                    {"route", m_route.id.text()},
                                    {"coordinator", coordinator.id.text()},
                                    {"coordinatorsAsked", m_tried.size()},
                                    {"missing", reply.missingShards},
                                    {"coordinatorMs", inMilliseconds(reply.elapsed)},
                                    {"configuration", terms().configuration.value()},
                                    {"afterMs", inMilliseconds(age())}});
    answer(toCallerAnswer(std::move(reply)));
}

void DelegatedGatherCall::rerun(bool mayHaveHedged)
{
    // The second run asks one server of each shard, and the first has asked one as long as it has
    // not hedged. More could exceed the permitted attempts.
    const bool isPermitted = m_route.maximumAttempts >= 2 && !mayHaveHedged && !m_wasRerun;
    if (isPermitted && m_gateway.m_timer.now() < m_deadline) {
        m_wasRerun = true;
        tryNext();
    } else if (m_calls.empty() && !m_localCall) {
        fail(statusBadGateway, "coordinator lost");
    }
}

bool DelegatedGatherCall::isAnyCallSound() const
{
    return std::ranges::any_of(m_calls, [](const auto &call) { return !call->isUnresponsive(); });
}

void DelegatedGatherCall::onDeadline()
{
    if (m_calls.empty() && !m_localCall && !m_mayHaveRun)
        refuse("no coordinator in time");
    else
        fail(statusTimeout, "no answer of a coordinator in time");
}

void DelegatedGatherCall::abandonServerCalls()
{
    // A coordinator waits before it cancels the servers of a caller that has left.
    for (const auto &call : std::exchange(m_calls, {}))
        call->cancel();
    if (const auto local = std::exchange(m_localCall, nullptr))
        local->onCallerDisconnected();
}

} // namespace oleander::gateway
