#include "Calls.h"

#include <oleander/gateway/HttpStatus.h>
#include <oleander/gateway/RecordMerge.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

bool isPart(const ServiceOutcome &outcome)
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
    m_openShards = m_route.shards.size();
    for (std::size_t shard = 0; shard < m_route.shards.size(); ++shard)
        askShard(shard);
    const Duration untilClose = answerBy() - m_gateway.m_timer.now();
    m_objectiveTimer = m_gateway.m_timer.callAfter(
        std::max(Duration{}, untilClose), [this](const TimerTick &) { onObjectiveClose(); });
}

void GatherCall::askShard(std::size_t shard)
{
    m_calls[shard] = std::make_shared<ServiceCall>(m_gateway.m_fleet, m_gateway.m_timer,
                                                   planFor(m_route.shards[shard], m_deadline));
    m_calls[shard]->start(
        [this, shard](ServiceOutcome outcome) { onOutcome(shard, std::move(outcome)); });
}

void GatherCall::onObjectiveClose()
{
    m_isObjectiveClose = true;
    decide();
}

void GatherCall::onOutcome(std::size_t shard, ServiceOutcome outcome)
{
    --m_openShards;
    m_anyRan = m_anyRan || outcome.ran != ExecutionState::NotRun;
    if (isPart(outcome)) {
        m_parts.push_back(std::move(*outcome.reply));
    } else {
        record(EventId::ShardMissing, {{"service", m_route.shards[shard].text()},
                                       {"status", outcome.reply ? outcome.reply->status : 0},
                                       {"attempts", m_calls[shard]->attempts()},
                                       {"afterMs", inMilliseconds(age())}});
    }
    decide();
}

void GatherCall::decide()
{
    if (isAnswered())
        return;
    const std::size_t required = requiredShards(m_route);
    if (m_parts.size() >= required && (m_openShards == 0 || m_isObjectiveClose))
        answerWithParts();
    else if (m_parts.size() + m_openShards < required)
        giveUp();
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
    answer({statusOk, m_gateway.m_gatheredFields(receipts, missing),
            greatestRecords(bodies, m_route.recordLimit)});
}

ExecutionState GatherCall::ranState() const
{
    const bool anyRunning = std::ranges::any_of(
        m_calls, [](const auto &call) { return call->ranState() != ExecutionState::NotRun; });
    return m_anyRan || anyRunning ? ExecutionState::MaybeRan : ExecutionState::NotRun;
}

void GatherCall::giveUp()
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

void GatherCall::leaveServers()
{
    m_objectiveTimer.reset();
    for (const auto &call : m_calls)
        call->leave();
}

void GatherCall::stopServers()
{
    for (const auto &call : m_calls)
        call->stopRunning();
}

bool GatherCall::isServerBusy() const
{
    return std::ranges::any_of(m_calls, [](const auto &call) { return call->isRunning(); });
}

} // namespace oleander::gateway
