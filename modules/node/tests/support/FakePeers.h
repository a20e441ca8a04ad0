#pragma once

#include "History.h"
#include "SeededRandom.h"
#include "VirtualHost.h"

#include <oleander/ports/PeerNetwork.h>

#include <set>

namespace oleander::fakes {

class FakePeerPort;

/// The sessions between hosted daemons.
///
/// A proof is never stronger than the truth: NotProcessed is only told when the handler of the peer
/// never saw the request, and where a real transport may or may not know, the seed decides.
class FakePeers
{
public:
    FakePeers(VirtualClock &clock, History &history, std::uint64_t seed);

    /// Joins a daemon under its instance id, in place of an earlier process of that id.
    std::unique_ptr<FakePeerPort> join(const InstanceId &id, VirtualHost &host);
    /// Nothing passes between the two any more, or does again.
    void setConnected(const InstanceId &first, const InstanceId &second, bool isConnected);
    void setLatency(Duration oneWay) { m_oneWay = oneWay; }
    /// The process is gone; its peers' calls end.
    void lose(const InstanceId &id);

private:
    friend class FakePeerPort;
    friend class FakeResponder;

    struct Call
    {
        PeerCallId id;
        InstanceId from;
        InstanceId to;
        VirtualHost *caller = nullptr;
        /// The process that it was sent to.
        VirtualHost *peer = nullptr;
        PeerCallback callback;
        /// What is forwarded, when it is a query.
        Query query;
        /// Nothing of it can have come to the peer's handler.
        bool isUnsent = false;
        /// It came to the peer's process.
        bool isSeen = false;
        /// Over at the caller's side.
        bool isDone = false;
        std::function<void()> onCancel;
    };
    using CallRef = std::shared_ptr<Call>;

    void start(const CallRef &call, PeerRequest request, Duration timeLeft);
    void arrive(const CallRef &call, const PeerRequest &request);
    void finish(const CallRef &call, PeerOutcome outcome, Duration delay);
    void fail(const CallRef &call, Duration delay);
    void cancel(const CallRef &call);
    void stopAtPeer(const CallRef &call);
    [[nodiscard]] bool isCut(const InstanceId &first, const InstanceId &second) const;

    VirtualClock &m_clock;
    History &m_history;
    SeededRandom m_random;
    Duration m_oneWay = microseconds(500);
    std::map<InstanceId, FakePeerPort *> m_ports;
    std::set<std::pair<InstanceId, InstanceId>> m_cuts;
    std::vector<CallRef> m_calls;
    std::uint64_t m_lastCall = 0;
};

/// The PeerNetwork of one daemon.
class FakePeerPort final : public PeerNetwork
{
public:
    FakePeerPort(FakePeers &peers, InstanceId id, VirtualHost &host);
    ~FakePeerPort() override;

    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override;
    void cancel(PeerCallId call) override;
    void setHandler(PeerHandler *handler) override { m_handler = handler; }
    void beginStop() override { m_isStopping = true; }

private:
    friend class FakePeers;

    FakePeers &m_peers;
    InstanceId m_id;
    VirtualHost &m_host;
    PeerHandler *m_handler = nullptr;
    bool m_isStopping = false;
    /// Instances that this daemon has a session with.
    std::set<InstanceId> m_sessions;
};

} // namespace oleander::fakes
