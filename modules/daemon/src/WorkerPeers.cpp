#include "WorkerPeers.h"

namespace oleander {

namespace {

/// Ids of calls inside the process have this bit, those of the network have not.
constexpr std::uint64_t localMark = std::uint64_t{1} << 63U;

} // namespace

/// Answers a call that did not leave the process. Used on the worker that serves it.
class WorkerPeers::LocalResponder final : public PeerResponder
{
public:
    LocalResponder(WorkerPeers &origin, PeerCallId call)
        : m_origin(origin)
        , m_call(call)
    {
    }

    ~LocalResponder() override { end({PeerCallStatus::MaybeProcessed, std::nullopt}); }

    void reply(PeerReply reply) override { end({PeerCallStatus::Replied, std::move(reply)}); }
    void refuse() override { end({PeerCallStatus::NotProcessed, std::nullopt}); }
    void onCancel(std::function<void()>) override {}

private:
    void end(PeerOutcome outcome)
    {
        if (m_isEnded)
            return;
        m_isEnded = true;
        m_origin.m_worker.post(
            [origin = &m_origin, call = m_call, outcome = std::move(outcome)]() mutable {
                origin->onLocalOutcome(call, std::move(outcome));
            });
    }

    WorkerPeers &m_origin;
    PeerCallId m_call;
    bool m_isEnded = false;
};

WorkerPeers::WorkerPeers(EventLoop &worker, PeerNetwork &remote, InstanceId self,
                         RouteLocally routeLocally)
    : m_worker(worker)
    , m_remote(remote)
    , m_self(std::move(self))
    , m_routeLocally(std::move(routeLocally))
{
}

PeerCallId WorkerPeers::call(const Instance &peer, PeerRequest request, Duration timeLeft,
                             PeerCallback callback)
{
    if (peer.id != m_self)
        return m_remote.call(peer, std::move(request), timeLeft, std::move(callback));
    const PeerCallId id(++m_lastLocal | localMark);
    m_localCalls.emplace(id, std::move(callback));
    m_routeLocally(std::move(request), std::make_shared<LocalResponder>(*this, id));
    return id;
}

void WorkerPeers::cancel(PeerCallId call)
{
    if ((call.value() & localMark) == 0) {
        m_remote.cancel(call);
        return;
    }
    m_localCalls.erase(call);
}

void WorkerPeers::onLocalOutcome(PeerCallId call, PeerOutcome outcome)
{
    const auto found = m_localCalls.find(call);
    if (found == m_localCalls.end())
        return;
    const PeerCallback callback = std::move(found->second);
    m_localCalls.erase(found);
    callback(std::move(outcome));
}

} // namespace oleander
