#include "Calls.h"

#include <oleander/gateway/HttpStatus.h>
#include <oleander/gateway/RecordMerge.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace oleander::gateway {

namespace {

/// Smaller groups of shards are asked directly, since a call to a coordinator costs as much.
constexpr std::size_t minimumGroupSize = 3;

bool isValidPart(const ServiceOutcome &outcome)
{
    return outcome.reply && outcome.reply->status == statusOk && !outcome.reply->receipt.empty();
}

bool hasUsableServerIn(const ServicePool &pool, const DataCentreId &dataCentre)
{
    return std::ranges::any_of(pool.servers, [&dataCentre](const BackendServer *server) {
        return server->isUsable() && server->registration().dataCentre == dataCentre;
    });
}

std::vector<std::size_t> allShards(const Route &route)
{
    std::vector<std::size_t> shards(route.shards.size());
    std::iota(shards.begin(), shards.end(), std::size_t{0});
    return shards;
}

} // namespace

GatherCall::GatherCall(Gateway &gateway, std::shared_ptr<const CallerRequest> request,
                       CallTerms terms, AnswerCallback answer)
    : CallBase(gateway, std::move(request), std::move(terms), std::move(answer))
    , m_shardCount(this->terms().isForSomeShards() ? this->terms().shards.size()
                                                   : m_route.shards.size())
    , m_requiredShards(this->terms().isForSomeShards() ? this->terms().minimumParts
                                                       : requiredShards(m_route))
    , m_calls(m_route.shards.size())
{
}

void GatherCall::begin()
{
    if (refuseIfCrashing())
        return;
    if (!terms().isForSomeShards() && reachableShards() < m_requiredShards) {
        refuseLater("too many shards without a server", untilAnswerable());
        return;
    }
    if (!terms().isForSomeShards()) {
        std::vector<const ServiceId *> services;
        services.reserve(m_shardCount);
        for (const ServiceId &shard : m_route.shards)
            services.push_back(&shard);
        if (refuseIfOverloaded(services, m_shardCount - m_requiredShards))
            return;
    }
    m_parts.reserve(m_shardCount);
    m_pendingShards = m_shardCount;
    std::vector<std::size_t> shards =
        terms().isForSomeShards() ? terms().shards : delegateShards(allShards(m_route));
    for (const std::size_t shard : shards)
        askShard(shard, terms().isRerun);
    const Duration untilAnswerBy = answerBy() - m_gateway.m_timer.now();
    m_objectiveTimer = m_gateway.m_timer.callAfter(
        std::max(Duration{}, untilAnswerBy), [this](const TimerTick &) { onObjectiveTimer(); });
}

std::size_t GatherCall::reachableShards() const
{
    const Duration left = m_deadline - m_gateway.m_timer.now();
    return static_cast<std::size_t>(
        std::ranges::count_if(m_route.shards, [this, left](const ServiceId &shard) {
            const ServicePool &pool = m_gateway.m_fleet.pool(shard);
            return pool.hasUsableServer() && pool.untilAccepting() < left;
        }));
}

Duration GatherCall::untilAnswerable() const
{
    std::vector<Duration> waits;
    for (const ServiceId &shard : m_route.shards) {
        const ServicePool &pool = m_gateway.m_fleet.pool(shard);
        if (pool.hasUsableServer())
            waits.push_back(pool.untilAccepting());
    }
    if (waits.size() < m_requiredShards)
        return {};
    std::ranges::sort(waits);
    return waits[m_requiredShards - 1];
}

std::vector<std::size_t> GatherCall::delegateShards(std::vector<std::size_t> shards)
{
    GatherDelegation *const delegation = m_gateway.m_delegation;
    // A rerun may ask each shard once only, which a further coordinator that fails could exceed.
    if (!delegation || !delegation->isCoordinator() || terms().isRerun
        || m_route.maximumAttempts < 2 || !m_route.homeRegions.empty())
        return shards;
    std::vector<std::pair<Instance, std::vector<std::size_t>>> groups;
    for (const DataCentreId &dataCentre : delegation->otherDataCentres()) {
        if (const auto coordinator = delegation->chooseIn(dataCentre))
            groups.push_back({*coordinator, {}});
    }
    const Duration usualLatency = m_latencies->mean(m_route.objective);
    std::vector<std::size_t> rest;
    for (const std::size_t shard : shards) {
        const ServicePool &pool = m_gateway.m_fleet.pool(m_route.shards[shard]);
        std::vector<std::size_t> *smallest = nullptr;
        if (!m_gateway.m_fleet.hasSoundLocalServer(pool, usualLatency)) {
            for (auto &[coordinator, group] : groups) {
                if ((!smallest || group.size() < smallest->size())
                    && hasUsableServerIn(pool, coordinator.dataCentre))
                    smallest = &group;
            }
        }
        (smallest ? *smallest : rest).push_back(shard);
    }
    const auto isSmall = [&rest](const auto &entry) {
        const bool isBelow = entry.second.size() < minimumGroupSize;
        if (isBelow)
            rest.insert(rest.end(), entry.second.begin(), entry.second.end());
        return isBelow;
    };
    std::erase_if(groups, isSmall);
    // All groups together may lack what the answer may lack.
    const std::size_t missable = m_shardCount - m_requiredShards;
    const std::size_t missableByGroup = groups.empty() ? 0 : missable / groups.size();
    for (auto &[coordinator, group] : groups)
        askGroup(coordinator, std::move(group), missableByGroup);
    return rest;
}

void GatherCall::askShard(std::size_t shard, bool isRerun)
{
    ServiceCallPlan plan = planFor(m_route.shards[shard], m_deadline);
    if (isRerun) {
        plan.isRerun = true;
        plan.maximumAttempts = 1;
    }
    m_calls[shard] =
        std::make_shared<ServiceCall>(m_gateway.m_fleet, m_gateway.m_timer, std::move(plan));
    m_calls[shard]->start(
        [this, shard](ServiceOutcome outcome) { onOutcome(shard, std::move(outcome)); });
}

void GatherCall::askGroup(const Instance &coordinator, std::vector<std::size_t> shards,
                          std::size_t missable)
{
    if (!m_groupRules)
        m_groupRules = gatherRules(m_route);
    ++m_gateway.m_counts.delegatedGroups;
    const TimePoint now = m_gateway.m_timer.now();
    PeerGather gather = makeGather(*m_gateway.m_delegation, *m_request, digestOf(*m_groupRules),
                                   m_deadline - now, answerBy() - now);
    gather.shards.assign(shards.begin(), shards.end());
    gather.minimumParts =
        static_cast<std::uint32_t>(shards.size() - std::min(shards.size(), missable));
    const auto call = std::make_shared<CoordinatorCall>(
        *m_gateway.m_delegation, m_gateway.m_timer, m_gateway.m_policy, *m_groupRules, coordinator);
    m_groups.push_back({call, std::move(shards)});
    call->start(std::move(gather),
                [this, raw = call.get()](CoordinatorResult result, PeerGatherReply reply) {
                    onGroupResult(*raw, result, std::move(reply));
                });
}

void GatherCall::onGroupResult(const CoordinatorCall &call, CoordinatorResult result,
                               PeerGatherReply reply)
{
    const auto found =
        std::ranges::find(m_groups, &call, [](const Group &held) { return held.call.get(); });
    if (isAnswered() || found == m_groups.end())
        return;
    const Group group = std::move(*found);
    m_groups.erase(found);
    if (result == CoordinatorResult::Replied) {
        onGroupReply(group, std::move(reply));
        return;
    }
    const bool mayHaveRun =
        result == CoordinatorResult::Lost || result == CoordinatorResult::Unresponsive;
    m_anyRan = m_anyRan || mayHaveRun;
    if (result == CoordinatorResult::Lost && group.call->mayHaveHedged()) {
        // Two servers of a shard may have executed the request already.
        m_pendingShards -= group.shards.size();
        checkCompletion();
        return;
    }
    group.call->cancel();
    for (const std::size_t shard : group.shards)
        askShard(shard, mayHaveRun);
}

void GatherCall::onGroupReply(const Group &group, PeerGatherReply reply)
{
    m_pendingShards -= group.shards.size();
    m_anyRan = m_anyRan || reply.status != statusUnavailable;
    if (reply.status == statusOk && !reply.receipts.empty()) {
        for (ShardReceipt &part : reply.receipts) {
            if (std::ranges::binary_search(group.shards, part.shard))
                m_parts.push_back({part.shard, std::move(part.receipt)});
        }
        m_bodies.push_back(std::move(reply.body));
    }
    checkCompletion();
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
    m_retryAfter = std::max(m_retryAfter, outcome.retryAfter);
    if (isValidPart(outcome)) {
        m_parts.push_back({shard, std::move(outcome.reply->receipt)});
        m_bodies.push_back(std::move(outcome.reply->body));
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
    const bool isEnough = m_parts.size() >= m_requiredShards;
    if (m_pendingShards == 0 ? isEnough || terms().isForSomeShards()
                             : isEnough && m_isPartialAllowed)
        answerWithParts();
    else if (m_parts.size() + m_pendingShards < m_requiredShards && !terms().isForSomeShards())
        failIncomplete();
}

void GatherCall::answerWithParts()
{
    const std::size_t missing = m_shardCount - m_parts.size();
    int attempts = 0;
    for (const auto &call : m_calls)
        attempts += call ? call->attempts() : 0;
    ++m_gateway.m_counts.answered;
    m_gateway.m_counts.partial += missing > 0 ? 1 : 0;
    record(missing > 0 ? EventId::QueryPartial : EventId::QueryAnswered,
           {{"status", statusOk},
            {"route", m_route.id.text()},
            {"shards", m_shardCount},
            {"missing", missing},
            {"attempts", attempts},
            {"configuration", terms().configuration.value()},
            {"afterMs", inMilliseconds(age())}});
    CallerAnswer merged;
    merged.status = statusOk;
    merged.missingShards = missing;
    const std::vector<std::string_view> bodies(m_bodies.begin(), m_bodies.end());
    merged.body = greatestRecords(bodies, m_route.recordLimit);
    if (terms().isForSomeShards()) {
        for (Part &part : m_parts)
            merged.receipts.push_back(
                {static_cast<std::uint32_t>(part.shard), std::move(part.receipt)});
    } else {
        std::vector<std::string> receipts;
        for (Part &part : m_parts)
            receipts.push_back(std::move(part.receipt));
        merged.fields = m_gateway.m_buildGatherHeaders(receipts, missing);
    }
    answer(std::move(merged));
}

ExecutionState GatherCall::ranState() const
{
    const bool anyRunning = std::ranges::any_of(m_calls, [](const auto &call) {
        return call && call->ranState() != ExecutionState::NotRun;
    });
    // What the coordinators of groups have sent is not known.
    return m_anyRan || anyRunning || !m_groups.empty() ? ExecutionState::MaybeRan
                                                       : ExecutionState::NotRun;
}

void GatherCall::failIncomplete()
{
    if (ranState() == ExecutionState::NotRun)
        refuse("too few shards could take the request", m_retryAfter);
    else
        fail(statusBadGateway, "too few shards answered");
}

void GatherCall::onDeadline()
{
    if (m_parts.size() >= m_requiredShards || terms().isForSomeShards())
        answerWithParts();
    else if (ranState() == ExecutionState::NotRun)
        refuse("no server was free in time");
    else
        fail(statusTimeout, "too few shards answered in time");
}

void GatherCall::abandonServerCalls()
{
    m_objectiveTimer.reset();
    for (const auto &call : m_calls) {
        if (call)
            call->abandon();
    }
    for (const Group &group : std::exchange(m_groups, {}))
        group.call->cancel();
}

void GatherCall::cancelServerCalls()
{
    for (const auto &call : m_calls) {
        if (call)
            call->cancelRunning();
    }
}

bool GatherCall::isServerBusy() const
{
    return std::ranges::any_of(m_calls, [](const auto &call) { return call && call->isRunning(); });
}

} // namespace oleander::gateway
