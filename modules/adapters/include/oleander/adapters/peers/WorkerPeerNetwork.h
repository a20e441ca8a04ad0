#pragma once

#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/ports/PeerNetwork.h>

#include <functional>
#include <memory>
#include <vector>

namespace oleander {

/// Gives a worker thread access to a peer network that runs on another thread.
///
/// Calls, replies and requests are passed between the threads as tasks posted to their event loops,
/// so neither thread waits for the other. All public functions except deliver() must be called on
/// the worker's thread; callbacks and the handler also run on that thread. As PeerNetwork
/// guarantees, a callback is called exactly once, or not at all if the call is cancelled.
///
/// Both loops must outlive the object.
class WorkerPeerNetwork final : public PeerNetwork
{
public:
    /// `network` is only used on the thread of `networkLoop`. All arguments must outlive the
    /// object.
    WorkerPeerNetwork(EventLoop &worker, EventLoop &networkLoop, PeerNetwork &network);
    WorkerPeerNetwork(const WorkerPeerNetwork &) = delete;
    WorkerPeerNetwork &operator=(const WorkerPeerNetwork &) = delete;
    ~WorkerPeerNetwork() override;

    // PeerNetwork
    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override;
    void cancel(PeerCallId call) override;
    /// Sets the handler for the requests that deliver() passes to this worker.
    void setHandler(PeerHandler *handler) override;
    /// Starts the shutdown of the underlying network, for all workers.
    void beginStop() override;

    // On the thread of the network
    /// Passes a request from a peer to the worker's handler. The request is refused if there is no
    /// handler.
    void deliver(PeerRequest request, std::shared_ptr<PeerResponder> responder);

private:
    struct WorkerSide;
    struct NetworkSide;
    class Responder;

    EventLoop &m_worker;
    EventLoop &m_networkLoop;
    std::shared_ptr<WorkerSide> m_workerSide;
    std::shared_ptr<NetworkSide> m_networkSide;
};

/// Distributes incoming requests of a peer network over worker threads.
class PeerDistributor final : public PeerHandler
{
public:
    /// Returns the index of the worker that handles a request.
    using Choice = std::function<std::size_t(const PeerRequest &)>;

    /// The workers must outlive the distributor.
    PeerDistributor(std::vector<WorkerPeerNetwork *> workers, Choice choice);

    /// Refuses the request if the selected worker index is out of range.
    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override;

private:
    std::vector<WorkerPeerNetwork *> m_workers;
    Choice m_choice;
};

} // namespace oleander
