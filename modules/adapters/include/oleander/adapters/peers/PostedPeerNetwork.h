#pragma once

#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/ports/PeerNetwork.h>

#include <functional>
#include <memory>
#include <vector>

namespace oleander {

/// A worker thread's view of a peer network that lives on another thread.
///
/// Calls, replies and requests cross between the threads as tasks of their event loops, so neither
/// side waits for the other. Everything public but deliver() is for the worker's thread; callbacks
/// and the handler are called there. The promise of PeerNetwork holds: a callback is called exactly
/// once unless its call is cancelled, and not after that.
///
/// Both loops must have ended, and be destroyed after the object, or be alive for as long as it
/// lives.
class PostedPeerNetwork final : public PeerNetwork
{
public:
    /// `network` is only used on the thread of `networkLoop`. All arguments must outlive the
    /// object.
    PostedPeerNetwork(EventLoop &worker, EventLoop &networkLoop, PeerNetwork &network);
    PostedPeerNetwork(const PostedPeerNetwork &) = delete;
    PostedPeerNetwork &operator=(const PostedPeerNetwork &) = delete;
    ~PostedPeerNetwork() override;

    // PeerNetwork
    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override;
    void cancel(PeerCallId call) override;
    /// For requests that are handed to this worker by deliver().
    void setHandler(PeerHandler *handler) override;
    /// Begins the stop of the network itself, for all workers.
    void beginStop() override;

    // On the thread of the network
    /// Hands a request of a peer to the worker's handler; without one it is refused.
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

/// Spreads the requests that arrive at a peer network over worker threads.
class PeerDistributor final : public PeerHandler
{
public:
    /// Names the worker for a request, by its place in the list.
    using Choice = std::function<std::size_t(const PeerRequest &)>;

    /// The workers must outlive the distributor.
    PeerDistributor(std::vector<PostedPeerNetwork *> workers, Choice choice);

    /// A request for a worker that there is not is refused.
    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override;

private:
    std::vector<PostedPeerNetwork *> m_workers;
    Choice m_choice;
};

} // namespace oleander
