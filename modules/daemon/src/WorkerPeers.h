#pragma once

#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/ports/PeerNetwork.h>

#include <functional>
#include <unordered_map>

namespace oleander {

/// The peer network as a worker sees it.
///
/// Calls to other instances go to `remote`. Calls to the own instance, for a service of another
/// worker, do not leave the process: they are handed to `routeLocally`. Belongs to the worker's
/// thread.
class WorkerPeers final : public PeerNetwork
{
public:
    /// Takes a request for a worker of this process; safe from any thread.
    using RouteLocally = std::function<void(PeerRequest, std::shared_ptr<PeerResponder>)>;

    WorkerPeers(EventLoop &worker, PeerNetwork &remote, InstanceId self, RouteLocally routeLocally);

    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override;
    /// A query that another worker of this process answers is not stopped there: it ends by its own
    /// deadline.
    void cancel(PeerCallId call) override;
    void setHandler(PeerHandler *handler) override { m_remote.setHandler(handler); }
    void beginStop() override { m_remote.beginStop(); }

private:
    class LocalResponder;

    void onLocalOutcome(PeerCallId call, PeerOutcome outcome);

    EventLoop &m_worker;
    PeerNetwork &m_remote;
    InstanceId m_self;
    RouteLocally m_routeLocally;
    std::uint64_t m_lastLocal = 0;
    std::unordered_map<PeerCallId, PeerCallback> m_localCalls;
};

} // namespace oleander
