#include "coordinator/CoordinatorSet.h"
#include "entry/QueryEntry.h"

#include <oleander/decisions/request/PauseDetector.h>
#include <oleander/node/QueryNode.h>

#include <string>

namespace oleander {

namespace {

/// Interval of decisions that depend on elapsed time, while queries are active.
constexpr Duration tickPeriod = milliseconds(1);

} // namespace

struct QueryNode::Impl
{
    Impl(Ports newPorts, Identity newIdentity)
        : ports(newPorts)
        , identity(std::move(newIdentity))
        , coordinators(ports, identity)
        , entry(
              ports, identity,
              [this](PeerQuery message, std::function<void(Answer)> done) {
                  const auto handle = coordinators.submit(std::move(message), std::move(done));
                  return [this, handle] { coordinators.abandon(handle); };
              },
              [this](const ServiceId &service) { return coordinators.ownsService(service); })
    {
        heartbeatTimer = ports.timers.callEvery(
            heartbeatPeriod, [this](const TimerTick &tick) { onHeartbeat(tick.fired); });
    }

    [[nodiscard]] bool isIdle() const
    {
        return entry.activeQueries() == 0 && coordinators.activeQueries() == 0;
    }

    void scheduleTick()
    {
        if (isTickScheduled)
            return;
        isTickScheduled = true;
        tickTimer = ports.timers.callAfter(tickPeriod,
                                           [this](const TimerTick &tick) { onTick(tick.fired); });
    }

    void onTick(TimePoint now)
    {
        isTickScheduled = false;
        coordinators.tick(now);
        entry.tick(now);
        if (!isIdle())
            scheduleTick();
        reportIdle();
    }

    void onHeartbeat(TimePoint now)
    {
        const Duration pause = noteHeartbeat(pauses, now);
        if (pause.count() > 0) {
            ports.log.record(EventId::LateTimer,
                             std::to_string(inMilliseconds(pause)) + " ms without a beat");
        }
        coordinators.onHeartbeat(now, pause.count() > 0);
        reportIdle();
    }

    /// Whether new non-idempotent queries have to be refused because the process has just resumed
    /// after a pause: queries that waited in its sockets may be older than they state.
    bool isResumingFromPause()
    {
        const TimePoint now = ports.timers.now();
        if (noteHeartbeat(pauses, now).count() > 0)
            coordinators.onHeartbeat(now, true);
        return isInGracePeriod(pauses, now);
    }

    [[nodiscard]] bool refuses(const Query &query, Answer &refused)
    {
        if (isStopping) {
            refused = refusal(ErrorKind::Stopping, "the instance is stopping");
            return true;
        }
        if (!query.isIdempotent && isResumingFromPause()) {
            refused = refusal(ErrorKind::NotReady, "the instance was paused");
            return true;
        }
        return false;
    }

    void reportIdle()
    {
        if (!whenIdle || !isIdle())
            return;
        const auto report = std::exchange(whenIdle, nullptr);
        report();
    }

    Ports ports;
    Identity identity;
    CoordinatorSet coordinators;
    QueryEntry entry;
    PauseDetector pauses;
    bool isStopping = false;
    bool isTickScheduled = false;
    std::uint64_t refusals = 0;
    std::function<void()> whenIdle;
    Subscription heartbeatTimer;
    Subscription tickTimer;
};

QueryNode::QueryNode(Ports ports, Identity identity)
    : m_impl(std::make_unique<Impl>(ports, std::move(identity)))
{
}

QueryNode::~QueryNode() = default;

QueryTicket QueryNode::submit(Query query, std::function<void(Answer)> done)
{
    Answer refused;
    if (m_impl->refuses(query, refused)) {
        ++m_impl->refusals;
        m_impl->ports.observer.onQueryFinished(query, refused, Duration{});
        done(std::move(refused));
        return {};
    }
    const QueryTicket ticket = m_impl->entry.submit(std::move(query), std::move(done));
    m_impl->scheduleTick();
    return ticket;
}

void QueryNode::abandon(QueryTicket ticket)
{
    m_impl->entry.abandon(ticket);
}

void QueryNode::onPeerQuery(PeerQuery message, const std::shared_ptr<PeerResponder> &responder)
{
    Answer refused;
    if (m_impl->refuses(message.query, refused)) {
        responder->refuse();
        return;
    }
    const auto view = m_impl->ports.views.view();
    PeerAnswer reply;
    if (view && view->instances)
        reply.instanceList = view->instances->version;
    const auto handle =
        m_impl->coordinators.submit(std::move(message), [responder, reply](Answer answer) mutable {
            reply.answer = std::move(answer);
            responder->reply(std::move(reply));
        });
    if (!handle.query.isNone()) {
        responder->onCancel([this, handle] { m_impl->coordinators.abandon(handle); });
    }
    m_impl->scheduleTick();
}

void QueryNode::onCrashNotices(const std::vector<CrashNotice> &notices)
{
    m_impl->coordinators.onCrashNotices(notices);
}

bool QueryNode::ownsService(const ServiceId &service) const
{
    return m_impl->coordinators.ownsService(service);
}

void QueryNode::beginStop(std::function<void()> whenIdle)
{
    m_impl->isStopping = true;
    m_impl->whenIdle = std::move(whenIdle);
    m_impl->scheduleTick();
}

QueryNodeStatus QueryNode::status() const
{
    QueryNodeStatus status;
    m_impl->coordinators.fillStatus(status);
    status.activeQueries += m_impl->entry.activeQueries();
    status.refusals = m_impl->refusals + m_impl->entry.refusals();
    return status;
}

} // namespace oleander
