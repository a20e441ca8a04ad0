#include "Calls.h"

#include <oleander/gateway/HttpStatus.h>
#include <oleander/gateway/RecordMerge.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

bool isValidPart(const ServiceOutcome &outcome)
{
    return outcome.reply && outcome.reply->status == statusOk && !outcome.reply->receipt.empty();
}

} // namespace

void GatherCall::begin()
{
    const std::size_t required = requiredShards(m_route);
    const auto reachable = std::ranges::count_if(m_route.shards, [this](const ServiceId &shard) {
        return m_gateway.m_fleet.pool(shard).hasUsableServer();
    });
    if (static_cast<std::size_t>(reachable) < required) {
        refuseLater("too many shards without a server");
        return;
    }
    m_parts.reserve(m_route.shards.size());
    m_calls.resize(m_route.shards.size());
    m_pendingShards = m_route.shards.size();
    for (std::size_t shard = 0; shard < m_route.shards.size(); ++shard)
        askShard(shard);
    const Duration untilAnswerBy = answerBy() - m_gateway.m_timer.now();
    m_objectiveTimer = m_gateway.m_timer.callAfter(
        std::max(Duration{}, untilAnswerBy), [this](const TimerTick &) { onObjectiveTimer(); });
}

void GatherCall::askShard(std::size_t shard)
{
    m_calls[shard] = std::make_shared<ServiceCall>(m_gateway.m_fleet, m_gateway.m_timer,
                                                   planFor(m_route.shards[shard], m_deadline));
    m_calls[shard]->start(
        [this, shard](ServiceOutcome outcome) { onOutcome(shard, std::move(outcome)); });
}

void GatherCall::onObjectiveTimer()
{
    m_isPartialAllowed = true;
    checkCompletion();
}

void GatherCall::onOutcome(std::size_t shard, ServiceOutcome outcome)
{
    --m_pendingShards;
    m_anyRan = m_anyRan || outcome.ran != ExecutionState::NotRun;
    if (isValidPart(outcome)) {
        m_parts.push_back(std::move(*outcome.reply));
    } else {
        record(EventId::ShardMissing, {{"service", m_route.shards[shard].text()},
                                       {"status", outcome.reply ? outcome.reply->status : 0},
                                       {"attempts", m_calls[shard]->attempts()},
                                       {"afterMs", inMilliseconds(age())}});
    }
    checkCompletion();
}

void GatherCall::checkCompletion()
{
    if (isAnswered())
        return;
    const std::size_t required = requiredShards(m_route);
    if (m_parts.size() >= required && (m_pendingShards == 0 || m_isPartialAllowed))
        answerWithParts();
    else if (m_parts.size() + m_pendingShards < required)
        failIncomplete();
}

void GatherCall::answerWithParts()
{
    const std::size_t missing = m_route.shards.size() - m_parts.size();
    std::vector<std::string_view> bodies;
    std::vector<std::string> receipts;
    for (const ServerReply &part : m_parts) {
        bodies.emplace_back(part.body);
        receipts.push_back(part.receipt);
    }
    int attempts = 0;
    for (const auto &call : m_calls)
        attempts += call->attempts();
    ++m_gateway.m_counts.answered;
    m_gateway.m_counts.partial += missing > 0 ? 1 : 0;
    record(missing > 0 ? EventId::QueryPartial : EventId::QueryAnswered,
           {{"status", statusOk},
            {"route", m_route.id.text()},
            {"shards", m_route.shards.size()},
            {"missing", missing},
            {"attempts", attempts},
            {"configuration", m_routes->version().value()},
            {"afterMs", inMilliseconds(age())}});
    answer({statusOk, m_gateway.m_buildGatherHeaders(receipts, missing),
            greatestRecords(bodies, m_route.recordLimit)});
}

ExecutionState GatherCall::ranState() const
{
    const bool anyRunning = std::ranges::any_of(
        m_calls, [](const auto &call) { return call->ranState() != ExecutionState::NotRun; });
    return m_anyRan || anyRunning ? ExecutionState::MaybeRan : ExecutionState::NotRun;
}

void GatherCall::failIncomplete()
{
    if (ranState() == ExecutionState::NotRun)
        refuse("too few shards could take the request");
    else
        fail(statusBadGateway, "too few shards answered");
}

void GatherCall::onDeadline()
{
    if (m_parts.size() >= requiredShards(m_route))
        answerWithParts();
    else if (ranState() == ExecutionState::NotRun)
        refuse("no server was free in time");
    else
        fail(statusTimeout, "too few shards answered in time");
}

void GatherCall::abandonServerCalls()
{
    m_objectiveTimer.reset();
    for (const auto &call : m_calls)
        call->abandon();
}

void GatherCall::cancelServerCalls()
{
    for (const auto &call : m_calls)
        call->cancelRunning();
}

bool GatherCall::isServerBusy() const
{
    return std::ranges::any_of(m_calls, [](const auto &call) { return call->isRunning(); });
}

} // namespace oleander::gateway
