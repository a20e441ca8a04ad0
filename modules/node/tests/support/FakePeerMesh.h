#pragma once

#include "History.h"
#include "SeededRandom.h"
#include "VirtualProcess.h"

#include <oleander/ports/PeerNetwork.h>

#include <set>

namespace oleander::fakes {

class FakePeerEndpoint;

/// Simulated network between the daemons of a test.
///
/// Reports NotProcessed only if the peer's handler never received the request. Where either outcome
/// is possible, as between a request and its cancellation, the seed decides.
class FakePeerMesh
{
public:
    FakePeerMesh(VirtualClock &clock, History &history, std::uint64_t seed);

    /// Registers a daemon under its instance id, replacing an earlier process with that id.
    std::unique_ptr<FakePeerEndpoint> addDaemon(const InstanceId &id, VirtualProcess &process);
    /// Blocks or restores all messages between two daemons.
    void setConnected(const InstanceId &first, const InstanceId &second, bool isConnected);
    void setLatency(Duration oneWayLatency) { m_oneWayLatency = oneWayLatency; }
    /// Removes a daemon whose process has ended. Calls from its peers fail.
    void removeDaemon(const InstanceId &id);

private:
    friend class FakePeerEndpoint;
    friend class FakeResponder;

    struct Call
    {
        PeerCallId id;
        InstanceId from;
        InstanceId to;
        VirtualProcess *caller = nullptr;
        /// The process that the request was sent to.
        VirtualProcess *peer = nullptr;
        PeerCallback callback;
        /// The forwarded query; empty for other requests.
        Query query;
        /// The request can not have reached the peer's handler.
        bool isKnownUnsent = false;
        /// The request has arrived at the peer's process.
        bool hasArrived = false;
        /// The call has ended for the caller.
        bool hasEnded = false;
        std::function<void()> onCancel;
    };
    using CallRef = std::shared_ptr<Call>;

    void start(const CallRef &call, PeerRequest request, Duration timeLeft);
    void arrive(const CallRef &call, const PeerRequest &request);
    void finish(const CallRef &call, PeerOutcome outcome, Duration delay);
    void fail(const CallRef &call, Duration delay);
    void cancel(const CallRef &call);
    void cancelAtPeer(const CallRef &call);
    [[nodiscard]] bool isBlocked(const InstanceId &first, const InstanceId &second) const;

    VirtualClock &m_clock;
    History &m_history;
    SeededRandom m_random;
    Duration m_oneWayLatency = microseconds(500);
    std::map<InstanceId, FakePeerEndpoint *> m_endpoints;
    std::set<std::pair<InstanceId, InstanceId>> m_blockedLinks;
    std::vector<CallRef> m_calls;
    std::uint64_t m_lastCall = 0;
};

/// The PeerNetwork of one daemon.
class FakePeerEndpoint final : public PeerNetwork
{
public:
    FakePeerEndpoint(FakePeerMesh &peers, InstanceId id, VirtualProcess &process);
    ~FakePeerEndpoint() override;

    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override;
    void cancel(PeerCallId call) override;
    void setHandler(PeerHandler *handler) override { m_handler = handler; }
    void beginStop() override { m_isStopping = true; }

private:
    friend class FakePeerMesh;

    FakePeerMesh &m_peers;
    InstanceId m_id;
    VirtualProcess &m_process;
    PeerHandler *m_handler = nullptr;
    bool m_isStopping = false;
    /// Instances that this daemon has a session with.
    std::set<InstanceId> m_sessions;
};

} // namespace oleander::fakes
