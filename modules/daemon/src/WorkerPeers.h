#pragma once

#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/ports/PeerNetwork.h>

#include <functional>
#include <unordered_map>

namespace oleander {

/// The peer network as a worker sees it: calls are posted to the control thread, which owns the
/// sessions, and outcomes are posted back.
///
/// Calls to the own instance, for a service of another worker, do not leave the process: they are
/// handed to `routeLocally`. Belongs to the worker's thread.
class WorkerPeers final : public PeerNetwork
{
public:
    /// Takes a request for a worker of this process; safe from any thread.
    using RouteLocally = std::function<void(PeerRequest, std::shared_ptr<PeerResponder>)>;

    WorkerPeers(EventLoop &worker, EventLoop &control, PeerNetwork &network, InstanceId self,
                RouteLocally routeLocally);

    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override;
    void cancel(PeerCallId call) override;
    /// Requests of peers arrive at the control thread; a worker gets none here.
    void setHandler(PeerHandler *handler) override;
    /// The control thread stops the sessions.
    void beginStop() override;

private:
    /// A call that has not ended. Touched by the control thread only after it was posted there.
    struct Call
    {
        PeerCallId onNetwork;
        bool isCancelled = false;
        /// Ends the work of a call that stayed in this process.
        std::function<void()> cancelLocally;
    };

    class LocalResponder;

    void callNetwork(PeerCallId id, const std::shared_ptr<Call> &call, const Instance &peer,
                     PeerRequest request, Duration timeLeft);
    void onOutcome(PeerCallId id, PeerOutcome outcome);

    EventLoop &m_worker;
    EventLoop &m_control;
    PeerNetwork &m_network;
    InstanceId m_self;
    RouteLocally m_routeLocally;
    std::uint64_t m_lastCall = 0;

    struct Open
    {
        PeerCallback callback;
        std::shared_ptr<Call> call;
    };
    std::unordered_map<PeerCallId, Open> m_open;
};

} // namespace oleander
