#include "entry/QueryEntry.h"

#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/request/Plan.h>
#include <oleander/settings/PolicyFor.h>

#include <algorithm>

namespace oleander {

namespace {

/// Subtracted from the deadline to leave time for returning the answer to the caller.
constexpr Duration forwardingMargin = milliseconds(1);
/// Shorter deadlines can not be met over the two network hops of a query.
constexpr Duration minimumDeadline = milliseconds(2);
/// How long a coordinator that did not answer is called after the others.
constexpr Duration unresponsivePeriod = seconds(3);
/// With Patience::Coverage, another coordinator is called after the deadline divided by this
/// number.
constexpr int coverageFailoverDivisor = 4;
/// Time after the tail limit at which a coordinator is considered unresponsive.
constexpr Duration failoverMargin = milliseconds(5);

Duration failoverDelay(const Query &query, const Policy &policy, Duration deadline)
{
    const Patience patience = query.patience.value_or(policy.patience);
    if (patience == Patience::Tail)
        return policy.tailLimit + failoverMargin;
    return std::max(policy.tailLimit + failoverMargin, deadline / coverageFailoverDivisor);
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
        refuseQuery(query, refusal(ErrorKind::NotReady, "no view is confirmed yet"), done);
        return {};
    }
    Reason reason;
    auto map = partitionMapFor(query, *view, reason);
    if (!map) {
        refuseQuery(query, refusal(reason.kind, reason.text), done);
        return {};
    }
    const Subject subject{map->backend, map->service, query.caller, m_identity.dataCentre,
                          m_identity.instance};
    auto forwarded = std::make_unique<ForwardedQuery>();
    forwarded->policy = policyFor(*view->policies, subject);
    Answer refused;
    if (!validate(query, forwarded->policy, *view, map, refused)) {
        refuseQuery(query, std::move(refused), done);
        return {};
    }
    const Duration deadline = std::min(query.deadline.value_or(forwarded->policy.defaultDeadline),
                                       forwarded->policy.maximumDeadline);
    forwarded->ticket = QueryTicket(++m_lastTicket);
    forwarded->startedAt = m_ports.timers.now();
    forwarded->deadline = forwarded->startedAt + deadline;
    forwarded->failoverAt =
        forwarded->startedAt + failoverDelay(query, forwarded->policy, deadline);
    forwarded->coordinators = coordinatorsInOrder(query, view, *map);
    query.service = map->service;
    forwarded->query = std::move(query);
    forwarded->view = std::move(view);
    forwarded->map = std::move(map);
    forwarded->done = std::move(done);
    const QueryTicket ticket = forwarded->ticket;
    ForwardedQuery &started = *forwarded;
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
    for (const CoordinatorCall &call : forwarded->calls)
        call.cancel();
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
        ForwardedQuery *forwarded = find(ticket);
        if (!forwarded)
            continue;
        if (now >= forwarded->deadline) {
            forwarded->mayHaveRun = forwarded->mayHaveRun || !forwarded->calls.empty();
            finish(*forwarded, failureAnswer(*forwarded));
            continue;
        }
        forwarded->failoverAt = forwarded->deadline;
        if (!forwarded->query.isIdempotent || forwarded->calls.empty())
            continue;
        markUnresponsive(forwarded->calls.back().coordinator);
        if (forwarded->nextCoordinator < forwarded->coordinators.size())
            forward(*forwarded);
    }
}

bool QueryEntry::validate(const Query &query, const Policy &policy, const FleetView &view,
                          const std::shared_ptr<const PartitionMap> &map, Answer &refused) const
{
    if (query.payload.size() > policy.maximumPayloadBytes) {
        refused = refusal(ErrorKind::BodyTooLarge,
                          "payload of " + std::to_string(query.payload.size()) + " bytes is over "
                              + std::to_string(policy.maximumPayloadBytes));
        return false;
    }
    if (query.deadline && *query.deadline < minimumDeadline) {
        refused = refusal(ErrorKind::DeadlineTooShort,
                          "deadlineMs is under " + std::to_string(inMilliseconds(minimumDeadline)));
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

void QueryEntry::refuseQuery(const Query &query, Answer refused,
                             const std::function<void(Answer)> &done)
{
    ++m_refusals;
    m_ports.log.record(EventId::QueryRefused, query.request, refused.errorText);
    m_ports.observer.onQueryFinished(query, refused, Duration{});
    done(std::move(refused));
}

void QueryEntry::forward(ForwardedQuery &forwarded)
{
    if (forwarded.nextCoordinator >= forwarded.coordinators.size()) {
        if (forwarded.calls.empty())
            finish(forwarded, failureAnswer(forwarded));
        return;
    }
    const InstanceId coordinator = forwarded.coordinators[forwarded.nextCoordinator];
    ++forwarded.nextCoordinator;
    forwardTo(forwarded, coordinator);
}

void QueryEntry::forwardTo(ForwardedQuery &forwarded, const InstanceId &coordinator)
{
    const QueryTicket ticket = forwarded.ticket;
    const std::uint64_t number = ++m_lastCallNumber;
    PeerQuery message;
    message.from = m_identity.instance;
    message.query = forwarded.query;
    message.timeLeft = forwarded.deadline - m_ports.timers.now() - forwardingMargin;
    message.instanceList = forwarded.view->instances->version;
    message.partitionMap = forwarded.map->version;
    forwarded.calls.push_back(CoordinatorCall{number, coordinator, [] {}, m_ports.timers.now()});

    std::function<void()> cancel;
    if (coordinator == m_identity.instance && m_ownsService(forwarded.map->service)) {
        cancel = m_submitLocally(std::move(message), [this, ticket, number](Answer answer) {
            onAnswer(ticket, number, std::move(answer));
        });
    } else {
        const Instance *peer = findInstance(*forwarded.view->instances, coordinator);
        const Duration timeLeft = message.timeLeft;
        const PeerCallId call = m_ports.peers.call(
            *peer, std::move(message), timeLeft, [this, ticket, number](PeerOutcome outcome) {
                onOutcome(ticket, number, std::move(outcome));
            });
        cancel = [this, call] { m_ports.peers.cancel(call); };
    }
    // A coordinator on this worker may already have answered.
    ForwardedQuery *current = find(ticket);
    if (!current)
        return;
    const auto found = std::ranges::find(current->calls, number, &CoordinatorCall::number);
    if (found != current->calls.end())
        found->cancel = std::move(cancel);
}

void QueryEntry::onOutcome(QueryTicket ticket, std::uint64_t callNumber, PeerOutcome outcome)
{
    if (outcome.callStatus == PeerCallStatus::Replied) {
        if (auto *reply = std::get_if<PeerAnswer>(&*outcome.reply)) {
            onAnswer(ticket, callNumber, std::move(reply->answer));
            return;
        }
    }
    ForwardedQuery *forwarded = find(ticket);
    if (!forwarded)
        return;
    const auto found = std::ranges::find(forwarded->calls, callNumber, &CoordinatorCall::number);
    if (found == forwarded->calls.end())
        return;
    markUnresponsive(found->coordinator);
    forwarded->calls.erase(found);
    onCallEnded(*forwarded, outcome.callStatus != PeerCallStatus::NotProcessed);
}

void QueryEntry::onAnswer(QueryTicket ticket, std::uint64_t callNumber, Answer answer)
{
    ForwardedQuery *forwarded = find(ticket);
    if (!forwarded || !removeCall(*forwarded, callNumber))
        return;
    const bool isNotAccepted = answer.error == ErrorKind::NotCoordinator
                               || answer.error == ErrorKind::Stopping
                               || answer.error == ErrorKind::NotReady;
    if (answer.outcome == Outcome::Refused && isNotAccepted) {
        forwarded->lastRefusal = std::move(answer);
        onCallEnded(*forwarded, false);
        return;
    }
    const bool isFailure = answer.outcome == Outcome::Refused || answer.outcome == Outcome::Unknown;
    if (isFailure && !forwarded->calls.empty()) {
        // Another coordinator is still executing the query, and its answer is used instead.
        forwarded->mayHaveRun = forwarded->mayHaveRun || answer.ran != ExecutionState::NotRun;
        forwarded->lastRefusal = std::move(answer);
        return;
    }
    finish(*forwarded, std::move(answer));
}

void QueryEntry::onCallEnded(ForwardedQuery &forwarded, bool mayHaveRun)
{
    forwarded.mayHaveRun = forwarded.mayHaveRun || mayHaveRun;
    if (!forwarded.calls.empty())
        return;
    // A non-idempotent request is not sent to another coordinator, because only the first one would
    // recognise a repeated request.
    if (!forwarded.query.isIdempotent) {
        finish(forwarded, failureAnswer(forwarded));
        return;
    }
    forward(forwarded);
}

void QueryEntry::finish(ForwardedQuery &forwarded, Answer answer)
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
    for (const CoordinatorCall &call : ended->calls)
        call.cancel();
    m_ports.observer.onQueryFinished(ended->query, answer, now - ended->startedAt);
    ended->done(std::move(answer));
}

Answer QueryEntry::failureAnswer(const ForwardedQuery &forwarded) const
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

void QueryEntry::markUnresponsive(const InstanceId &coordinator)
{
    m_unresponsiveUntil[coordinator] = m_ports.timers.now() + unresponsivePeriod;
}

std::vector<InstanceId>
QueryEntry::coordinatorsInOrder(const Query &query, const std::shared_ptr<const FleetView> &view,
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
        const auto found = m_unresponsiveUntil.find(id);
        return found == m_unresponsiveUntil.end() || found->second <= now;
    });
    return order;
}

QueryEntry::ForwardedQuery *QueryEntry::find(QueryTicket ticket)
{
    const auto found = m_forwarded.find(ticket);
    return found == m_forwarded.end() ? nullptr : found->second.get();
}

bool QueryEntry::removeCall(ForwardedQuery &forwarded, std::uint64_t number)
{
    return std::erase_if(forwarded.calls,
                         [&](const CoordinatorCall &call) { return call.number == number; })
           > 0;
}

} // namespace oleander
