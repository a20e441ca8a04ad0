#pragma once

#include "WorkerPeers.h"

#include <oleander/adapters/callers/CallerServer.h>
#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/adapters/peers/WorkerPeerNetwork.h>
#include <oleander/adapters/servers/AsioServerNetwork.h>
#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/adapters/time/SeededRandom.h>
#include <oleander/core/Reason.h>
#include <oleander/node/QueryNode.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace oleander {

/// One worker thread with everything that it owns: its loop, timers, connections, its query node
/// and its listener for callers.
class Worker : private PeerHandler
{
public:
    struct Shared
    {
        EventLoop &control;
        PeerNetwork &network;
        const ViewSource &views;
        EventLog &log;
        QueryObserver &observer;
        WorkerPeers::RouteLocally routeLocally;
    };

    Worker(const Shared &shared, const QueryNode::Identity &identity);
    ~Worker() override;

    // Life
    /// Opens the listener for callers, then starts the thread.
    bool start(const std::string &callerAddress, Reason &reason);
    /// Takes no new work; `whenIdle` is called on the worker's thread when the last query ended.
    void beginStop(std::function<void()> whenIdle);
    /// Ends the thread. Nothing may be posted to the worker afterwards.
    void join();

    // From other threads
    /// A request of another worker of this process.
    void takeLocalRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder);
    /// Where requests that arrive at the peer network are delivered.
    [[nodiscard]] WorkerPeerNetwork &peerNetwork() { return m_remotePeers; }
    void takeCrashNotice(const CrashNotice &notice);
    void readStatus(std::function<void(QueryNodeStatus)> callback);
    [[nodiscard]] bool ownsService(const ServiceId &service) const;

private:
    // PeerHandler
    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override;

    EventLoop m_loop;
    AsioTimerService m_timers;
    AsioServerNetwork m_servers;
    SeededRandom m_random;
    WorkerPeerNetwork m_remotePeers;
    WorkerPeers m_peers;
    QueryNode m_node;
    CallerServer m_callers;
    std::thread m_thread;
};

/// The worker that coordinates a service. There is at least one worker.
Worker &workerOf(const std::vector<std::unique_ptr<Worker>> &workers, const ServiceId &service);

} // namespace oleander
