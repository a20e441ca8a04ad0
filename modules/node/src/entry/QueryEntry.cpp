#include "entry/QueryEntry.h"

#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/request/Plan.h>
#include <oleander/settings/PolicyFor.h>

#include <algorithm>

namespace oleander {

namespace {

/// Kept back from the deadline for the way back to the caller.
constexpr Duration hopMargin = milliseconds(1);
/// A deadline shorter than this can not be met over the two hops.
constexpr Duration shortestDeadline = milliseconds(2);
/// Evidence against a coordinator that did not answer is believed this long.
constexpr Duration suspicionTime = seconds(3);
/// With Patience::Coverage another coordinator is asked after this share of the deadline.
constexpr int coverageFailoverShare = 4;
/// Time beyond the tail limit before a coordinator is taken as silent.
constexpr Duration failoverSlack = milliseconds(5);

Duration failoverDelay(const Query &query, const Policy &policy, Duration deadline)
{
    const Patience patience = query.patience.value_or(policy.patience);
    if (patience == Patience::Tail)
        return policy.tailLimit + failoverSlack;
    return std::max(policy.tailLimit + failoverSlack, deadline / coverageFailoverShare);
}

} // namespace

QueryEntry::QueryEntry(QueryNode::Ports ports, QueryNode::Identity identity,
                       LocalSubmit submitLocally,
                       std::function<bool(const ServiceId &)> ownsService)
    : m_ports(ports)
    , m_identity(std::move(identity))
    , m_submitLocally(std::move(submitLocally))
    , m_ownsService(std::move(ownsService))
{
}

QueryTicket QueryEntry::submit(Query query, std::function<void(Answer)> done)
{
    auto view = m_ports.views.view();
    if (!view || !view->policies || !view->instances) {
        refuseNow(query, refusal(ErrorKind::NotReady, "no view is confirmed yet"), done);
        return {};
    }
    Reason reason;
    auto map = partitionMapFor(query, *view, reason);
    if (!map) {
        refuseNow(query, refusal(reason.kind, reason.text), done);
        return {};
    }
    const Subject subject{map->backend, map->service, query.caller, m_identity.dataCentre,
                          m_identity.instance};
    auto forwarded = std::make_unique<Forwarded>();
    forwarded->policy = policyFor(*view->policies, subject);
    Answer refused;
    if (!check(query, forwarded->policy, *view, map, refused)) {
        refuseNow(query, std::move(refused), done);
        return {};
    }
    const Duration deadline = std::min(query.deadline.value_or(forwarded->policy.defaultDeadline),
                                       forwarded->policy.maximumDeadline);
    forwarded->ticket = QueryTicket(++m_lastTicket);
    forwarded->startedAt = m_ports.timers.now();
    forwarded->deadline = forwarded->startedAt + deadline;
    forwarded->failoverAt =
        forwarded->startedAt + failoverDelay(query, forwarded->policy, deadline);
    forwarded->order = orderFor(query, view, *map);
    query.service = map->service;
    forwarded->query = std::move(query);
    forwarded->view = std::move(view);
    forwarded->map = std::move(map);
    forwarded->done = std::move(done);
    const QueryTicket ticket = forwarded->ticket;
    Forwarded &started = *forwarded;
    m_forwarded.emplace(ticket, std::move(forwarded));
    forward(started);
    return ticket;
}

void QueryEntry::abandon(QueryTicket ticket)
{
    const auto found = m_forwarded.find(ticket);
    if (found == m_forwarded.end())
        return;
    const auto forwarded = std::move(found->second);
    m_forwarded.erase(found);
    for (const Leg &leg : forwarded->legs)
        leg.end();
}

void QueryEntry::tick(TimePoint now)
{
    std::vector<QueryTicket> due;
    for (const auto &[ticket, forwarded] : m_forwarded) {
        if (now >= forwarded->deadline || now >= forwarded->failoverAt)
            due.push_back(ticket);
    }
    std::ranges::sort(due);
    for (const QueryTicket ticket : due) {
        Forwarded *forwarded = find(ticket);
        if (!forwarded)
            continue;
        if (now >= forwarded->deadline) {
            forwarded->mayHaveRun = forwarded->mayHaveRun || !forwarded->legs.empty();
            finish(*forwarded, lastWord(*forwarded));
            continue;
        }
        forwarded->failoverAt = forwarded->deadline;
        if (!forwarded->query.isIdempotent || forwarded->legs.empty())
            continue;
        suspect(forwarded->legs.back().coordinator);
        if (forwarded->next < forwarded->order.size())
            forward(*forwarded);
    }
}

bool QueryEntry::check(const Query &query, const Policy &policy, const FleetView &view,
                       const std::shared_ptr<const PartitionMap> &map, Answer &refused) const
{
    if (query.payload.size() > policy.maximumPayloadBytes) {
        refused = refusal(ErrorKind::BodyTooLarge,
                          "payload of " + std::to_string(query.payload.size()) + " bytes is over "
                              + std::to_string(policy.maximumPayloadBytes));
        return false;
    }
    if (query.deadline && *query.deadline < shortestDeadline) {
        refused =
            refusal(ErrorKind::DeadlineTooShort,
                    "deadlineMs is under " + std::to_string(inMilliseconds(shortestDeadline)));
        return false;
    }
    if (!query.isIdempotent && !query.issuedAt) {
        refused = refusal(ErrorKind::BadRequest, "a non-idempotent request needs issuedAtMs");
        return false;
    }
    Reason reason;
    if (!planQuery(query, map, reason)) {
        refused = refusal(reason.kind, reason.text);
        return false;
    }
    if (view.instances->instances.empty()) {
        refused = refusal(ErrorKind::CoordinatorUnreachable, "the list of instances is empty");
        return false;
    }
    return true;
}

void QueryEntry::refuseNow(const Query &query, Answer refused,
                           const std::function<void(Answer)> &done)
{
    ++m_refusals;
    m_ports.log.record(EventId::QueryRefused, query.request, refused.errorText);
    m_ports.observer.onQueryFinished(query, refused, Duration{});
    done(std::move(refused));
}

void QueryEntry::forward(Forwarded &forwarded)
{
    if (forwarded.next >= forwarded.order.size()) {
        if (forwarded.legs.empty())
            finish(forwarded, lastWord(forwarded));
        return;
    }
    const InstanceId coordinator = forwarded.order[forwarded.next];
    ++forwarded.next;
    forwardTo(forwarded, coordinator);
}

void QueryEntry::forwardTo(Forwarded &forwarded, const InstanceId &coordinator)
{
    const QueryTicket ticket = forwarded.ticket;
    const std::uint64_t number = ++m_lastLeg;
    PeerQuery message;
    message.from = m_identity.instance;
    message.query = forwarded.query;
    message.timeLeft = forwarded.deadline - m_ports.timers.now() - hopMargin;
    message.instanceList = forwarded.view->instances->version;
    message.partitionMap = forwarded.map->version;
    forwarded.legs.push_back(Leg{number, coordinator, [] {}, m_ports.timers.now()});

    std::function<void()> end;
    if (coordinator == m_identity.instance && m_ownsService(forwarded.map->service)) {
        end = m_submitLocally(std::move(message), [this, ticket, number](Answer answer) {
            onAnswer(ticket, number, std::move(answer));
        });
    } else {
        const Instance *peer = findInstance(*forwarded.view->instances, coordinator);
        const Duration timeLeft = message.timeLeft;
        const PeerCallId call = m_ports.peers.call(
            *peer, std::move(message), timeLeft, [this, ticket, number](PeerOutcome outcome) {
                onOutcome(ticket, number, std::move(outcome));
            });
        end = [this, call] { m_ports.peers.cancel(call); };
    }
    // The coordinator on this worker may have answered already.
    Forwarded *current = find(ticket);
    if (!current)
        return;
    const auto leg = std::ranges::find(current->legs, number, &Leg::number);
    if (leg != current->legs.end())
        leg->end = std::move(end);
}

void QueryEntry::onOutcome(QueryTicket ticket, std::uint64_t leg, PeerOutcome outcome)
{
    if (outcome.callStatus == PeerCallStatus::Replied) {
        if (auto *reply = std::get_if<PeerAnswer>(&*outcome.reply)) {
            onAnswer(ticket, leg, std::move(reply->answer));
            return;
        }
    }
    Forwarded *forwarded = find(ticket);
    if (!forwarded)
        return;
    const auto found = std::ranges::find(forwarded->legs, leg, &Leg::number);
    if (found == forwarded->legs.end())
        return;
    suspect(found->coordinator);
    forwarded->legs.erase(found);
    onLegEnded(*forwarded, outcome.callStatus != PeerCallStatus::NotProcessed);
}

void QueryEntry::onAnswer(QueryTicket ticket, std::uint64_t leg, Answer answer)
{
    Forwarded *forwarded = find(ticket);
    if (!forwarded || !removeLeg(*forwarded, leg))
        return;
    const bool isElsewhere = answer.error == ErrorKind::NotCoordinator
                             || answer.error == ErrorKind::Stopping
                             || answer.error == ErrorKind::NotReady;
    if (answer.outcome == Outcome::Refused && isElsewhere) {
        forwarded->lastRefusal = std::move(answer);
        onLegEnded(*forwarded, false);
        return;
    }
    const bool isFailure = answer.outcome == Outcome::Refused || answer.outcome == Outcome::Unknown;
    if (isFailure && !forwarded->legs.empty()) {
        // Another coordinator is still at work on it: its answer counts.
        forwarded->mayHaveRun = forwarded->mayHaveRun || answer.ran != ExecutionState::NotRun;
        forwarded->lastRefusal = std::move(answer);
        return;
    }
    finish(*forwarded, std::move(answer));
}

void QueryEntry::onLegEnded(Forwarded &forwarded, bool mayHaveRun)
{
    forwarded.mayHaveRun = forwarded.mayHaveRun || mayHaveRun;
    if (!forwarded.legs.empty())
        return;
    // Only the first coordinator remembers a request that must not run twice.
    if (!forwarded.query.isIdempotent) {
        finish(forwarded, lastWord(forwarded));
        return;
    }
    forward(forwarded);
}

void QueryEntry::finish(Forwarded &forwarded, Answer answer)
{
    const TimePoint now = m_ports.timers.now();
    if (answer.outcome == Outcome::Refused && forwarded.mayHaveRun) {
        answer.outcome = Outcome::Unknown;
        answer.ran = ExecutionState::MaybeRan;
    }
    if (answer.outcome == Outcome::Refused)
        ++m_refusals;
    answer.timeLeft = std::max(Duration{}, forwarded.deadline - now);
    const auto found = m_forwarded.find(forwarded.ticket);
    const auto ended = std::move(found->second);
    m_forwarded.erase(found);
    for (const Leg &leg : ended->legs)
        leg.end();
    m_ports.observer.onQueryFinished(ended->query, answer, now - ended->startedAt);
    ended->done(std::move(answer));
}

Answer QueryEntry::lastWord(const Forwarded &forwarded) const
{
    if (!forwarded.mayHaveRun) {
        if (forwarded.lastRefusal.error != ErrorKind::None)
            return forwarded.lastRefusal;
        return refusal(ErrorKind::CoordinatorUnreachable,
                       "no coordinator of the service could be reached");
    }
    const bool isLate = m_ports.timers.now() >= forwarded.deadline;
    Answer answer = refusal(isLate ? ErrorKind::DeadlinePassed : ErrorKind::CoordinatorLost,
                            "the coordinator did not answer");
    answer.outcome = Outcome::Unknown;
    answer.ran = ExecutionState::MaybeRan;
    return answer;
}

void QueryEntry::suspect(const InstanceId &coordinator)
{
    m_suspectUntil[coordinator] = m_ports.timers.now() + suspicionTime;
}

std::vector<InstanceId> QueryEntry::orderFor(const Query &query,
                                             const std::shared_ptr<const FleetView> &view,
                                             const PartitionMap &map)
{
    const auto &coordinators = m_coordinators.coordinatorsOf(view, map);
    auto order = coordinatorOrder(coordinators, routingKey(query, map.service));
    if (!query.isIdempotent) {
        order.resize(std::min<std::size_t>(order.size(), 1));
        return order;
    }
    const TimePoint now = m_ports.timers.now();
    std::stable_partition(order.begin(), order.end(), [&](const InstanceId &id) {
        const auto found = m_suspectUntil.find(id);
        return found == m_suspectUntil.end() || found->second <= now;
    });
    return order;
}

QueryEntry::Forwarded *QueryEntry::find(QueryTicket ticket)
{
    const auto found = m_forwarded.find(ticket);
    return found == m_forwarded.end() ? nullptr : found->second.get();
}

bool QueryEntry::removeLeg(Forwarded &forwarded, std::uint64_t number)
{
    return std::erase_if(forwarded.legs, [&](const Leg &leg) { return leg.number == number; }) > 0;
}

} // namespace oleander
