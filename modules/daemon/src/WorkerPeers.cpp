#include "WorkerPeers.h"

#include "PostedResponder.h"

namespace oleander {

/// Answers a call that did not leave the process. Used on the worker that serves it.
class WorkerPeers::LocalResponder final : public PeerResponder
{
public:
    LocalResponder(WorkerPeers &origin, PeerCallId call)
        : m_origin(origin)
        , m_call(call)
    {
    }

    ~LocalResponder() override { end(PeerOutcome{PeerProof::MaybeProcessed, std::nullopt}); }

    void reply(PeerReply reply) override { end(PeerOutcome{PeerProof::Replied, std::move(reply)}); }
    void refuse() override { end(PeerOutcome{PeerProof::NotProcessed, std::nullopt}); }
    /// The query's own deadline ends it; the caller of an abandoned one is not told.
    void onCancel(std::function<void()> callback) override { (void)callback; }

private:
    void end(PeerOutcome outcome)
    {
        if (m_isEnded)
            return;
        m_isEnded = true;
        m_origin.m_worker.post(
            [origin = &m_origin, call = m_call, outcome = std::move(outcome)]() mutable {
                origin->onOutcome(call, std::move(outcome));
            });
    }

    WorkerPeers &m_origin;
    PeerCallId m_call;
    bool m_isEnded = false;
};

WorkerPeers::WorkerPeers(EventLoop &worker, EventLoop &control, PeerNetwork &network,
                         InstanceId self, RouteLocally routeLocally)
    : m_worker(worker)
    , m_control(control)
    , m_network(network)
    , m_self(std::move(self))
    , m_routeLocally(std::move(routeLocally))
{
}

PeerCallId WorkerPeers::call(const Instance &peer, PeerRequest request, Duration timeLeft,
                             PeerCallback callback)
{
    const PeerCallId id(++m_lastCall);
    auto call = std::make_shared<Call>();
    m_open.emplace(id, Open{std::move(callback), call});
    if (peer.id == m_self) {
        m_routeLocally(std::move(request), std::make_shared<LocalResponder>(*this, id));
        return id;
    }
    callNetwork(id, call, peer, std::move(request), timeLeft);
    return id;
}

void WorkerPeers::callNetwork(PeerCallId id, const std::shared_ptr<Call> &call,
                              const Instance &peer, PeerRequest request, Duration timeLeft)
{
    m_control.post([this, id, call, peer, timeLeft, request = std::move(request)]() mutable {
        if (call->isCancelled)
            return;
        call->onNetwork =
            m_network.call(peer, std::move(request), timeLeft, [this, id](PeerOutcome outcome) {
                m_worker.post([this, id, outcome = std::move(outcome)]() mutable {
                    onOutcome(id, std::move(outcome));
                });
            });
    });
}

void WorkerPeers::cancel(PeerCallId id)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    const auto call = found->second.call;
    m_open.erase(found);
    m_control.post([this, call] {
        call->isCancelled = true;
        if (!call->onNetwork.isNone())
            m_network.cancel(call->onNetwork);
    });
}

void WorkerPeers::setHandler(PeerHandler *handler)
{
    (void)handler;
}

void WorkerPeers::beginStop() {}

void WorkerPeers::onOutcome(PeerCallId id, PeerOutcome outcome)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    const PeerCallback callback = std::move(found->second.callback);
    m_open.erase(found);
    callback(std::move(outcome));
}

} // namespace oleander
