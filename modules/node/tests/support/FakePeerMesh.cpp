#include "FakePeerMesh.h"

#include <algorithm>

namespace oleander::fakes {

/// Answers one call. If it is destroyed without an answer, the caller gets MaybeProcessed.
class FakeResponder final : public PeerResponder
{
public:
    FakeResponder(FakePeerMesh &peers, FakePeerMesh::CallRef call)
        : m_peers(peers)
        , m_call(std::move(call))
    {
    }
    ~FakeResponder() override
    {
        if (!m_isAnswered)
            m_peers.finish(m_call, {PeerCallStatus::MaybeProcessed, std::nullopt},
                           m_peers.m_oneWayLatency);
    }

    void reply(PeerReply reply) override
    {
        m_peers.m_history.recordStage(QueryStage::Merged, m_call->query.caller,
                                      m_call->query.request);
        answer({PeerCallStatus::Replied, std::move(reply)});
    }
    void refuse() override { answer({PeerCallStatus::NotProcessed, std::nullopt}); }
    void onCancel(std::function<void()> callback) override
    {
        if (m_isAnswered)
            return;
        m_call->onCancel = std::move(callback);
    }

private:
    void answer(PeerOutcome outcome)
    {
        m_isAnswered = true;
        m_call->onCancel = nullptr;
        m_peers.finish(m_call, std::move(outcome), m_peers.m_oneWayLatency);
    }

    FakePeerMesh &m_peers;
    FakePeerMesh::CallRef m_call;
    bool m_isAnswered = false;
};

FakePeerMesh::FakePeerMesh(VirtualClock &clock, History &history, std::uint64_t seed)
    : m_clock(clock)
    , m_history(history)
    , m_random(seed)
{
}

std::unique_ptr<FakePeerEndpoint> FakePeerMesh::addDaemon(const InstanceId &id,
                                                          VirtualProcess &process)
{
    auto endpoint = std::make_unique<FakePeerEndpoint>(*this, id, process);
    m_endpoints[id] = endpoint.get();
    return endpoint;
}

bool FakePeerMesh::isBlocked(const InstanceId &first, const InstanceId &second) const
{
    return m_blockedLinks.contains(std::minmax(first, second));
}

void FakePeerMesh::setConnected(const InstanceId &first, const InstanceId &second, bool isConnected)
{
    const std::pair<InstanceId, InstanceId> link = std::minmax(first, second);
    if (isConnected)
        m_blockedLinks.erase(link);
    else
        m_blockedLinks.insert(link);
}

void FakePeerMesh::removeDaemon(const InstanceId &id)
{
    // During a planned stop, a process tells its peers which call it processed last. Calls that had
    // not arrived are therefore known to be unprocessed.
    const bool wasStopping = m_endpoints.contains(id) && m_endpoints.at(id)->m_isStopping;
    m_endpoints.erase(id);
    for (auto &[peer, endpoint] : m_endpoints)
        endpoint->m_sessions.erase(id);
    const auto calls = m_calls;
    for (const CallRef &call : calls) {
        if (call->to == id) {
            call->isKnownUnsent = call->isKnownUnsent || (wasStopping && !call->hasArrived);
            fail(call, m_oneWayLatency);
        }
        if (call->from == id)
            cancel(call);
    }
}

void FakePeerMesh::start(const CallRef &call, PeerRequest request, Duration timeLeft)
{
    std::erase_if(m_calls, [](const CallRef &each) { return each->hasEnded; });
    m_calls.push_back(call);
    // The caller's timer ends the call when its time is up.
    m_clock.after(timeLeft, call->caller->index(), [this, call] { fail(call, Duration{}); });
    if (const auto *query = std::get_if<PeerQuery>(&request)) {
        call->query = query->query;
        m_history.recordStage(QueryStage::Forwarded, call->query.caller, call->query.request);
    }
    const Duration pause = call->caller->consumePauseAtSend();
    const auto endpoint = m_endpoints.find(call->to);
    auto &sessions = m_endpoints.at(call->from)->m_sessions;
    const bool isLinkUp = endpoint != m_endpoints.end() && !isBlocked(call->from, call->to);
    call->isKnownUnsent = !isLinkUp && !sessions.contains(call->to);
    if (endpoint == m_endpoints.end())
        fail(call, 2 * m_oneWayLatency);
    if (!isLinkUp)
        return;
    sessions.insert(call->to);
    call->peer = &endpoint->second->m_process;
    call->peer->run(m_oneWayLatency + pause,
                    [this, call, request = std::move(request)] { arrive(call, request); });
}

void FakePeerMesh::arrive(const CallRef &call, const PeerRequest &request)
{
    const auto endpoint = m_endpoints.find(call->to);
    if (endpoint == m_endpoints.end() || isBlocked(call->from, call->to))
        return;
    // If the call is already cancelled, the seed decides whether the peer sees the cancellation
    // before the request.
    if (call->hasEnded && m_random.chance(500))
        return;
    FakePeerEndpoint &peer = *endpoint->second;
    call->hasArrived = true;
    if (peer.m_handler == nullptr || peer.m_isStopping) {
        finish(call, {PeerCallStatus::NotProcessed, std::nullopt}, m_oneWayLatency);
        return;
    }
    peer.m_handler->onPeerRequest(request, std::make_shared<FakeResponder>(*this, call));
    m_history.recordStage(QueryStage::Queued, call->query.caller, call->query.request);
}

void FakePeerMesh::finish(const CallRef &call, PeerOutcome outcome, Duration delay)
{
    if (isBlocked(call->from, call->to) && delay > Duration{})
        return;
    call->caller->run(delay, [call, outcome = std::move(outcome)] {
        if (!std::exchange(call->hasEnded, true))
            call->callback(outcome);
    });
}

void FakePeerMesh::fail(const CallRef &call, Duration delay)
{
    if (call->hasEnded)
        return;
    const bool isNotProcessed = call->isKnownUnsent;
    const PeerCallStatus proof =
        isNotProcessed ? PeerCallStatus::NotProcessed : PeerCallStatus::MaybeProcessed;
    call->caller->run(delay, [this, call, proof] {
        if (std::exchange(call->hasEnded, true))
            return;
        cancelAtPeer(call);
        call->callback({proof, std::nullopt});
    });
}

void FakePeerMesh::cancel(const CallRef &call)
{
    if (!std::exchange(call->hasEnded, true))
        cancelAtPeer(call);
}

void FakePeerMesh::cancelAtPeer(const CallRef &call)
{
    if (call->peer == nullptr || isBlocked(call->from, call->to))
        return;
    call->peer->run(m_oneWayLatency, [call] {
        if (call->onCancel)
            std::exchange(call->onCancel, nullptr)();
    });
}

FakePeerEndpoint::FakePeerEndpoint(FakePeerMesh &peers, InstanceId id, VirtualProcess &process)
    : m_peers(peers)
    , m_id(std::move(id))
    , m_process(process)
{
}

FakePeerEndpoint::~FakePeerEndpoint()
{
    const auto own = m_peers.m_endpoints.find(m_id);
    if (own != m_peers.m_endpoints.end() && own->second == this)
        m_peers.m_endpoints.erase(own);
}

PeerCallId FakePeerEndpoint::call(const Instance &peer, PeerRequest request, Duration timeLeft,
                                  PeerCallback callback)
{
    const auto call = std::make_shared<FakePeerMesh::Call>();
    call->id = PeerCallId(++m_peers.m_lastCall);
    call->from = m_id;
    call->to = peer.id;
    call->caller = &m_process;
    call->callback = std::move(callback);
    m_peers.start(call, std::move(request), timeLeft);
    return call->id;
}

void FakePeerEndpoint::cancel(PeerCallId call)
{
    const auto found =
        std::ranges::find(m_peers.m_calls, call, [](const auto &each) { return each->id; });
    if (found != m_peers.m_calls.end())
        m_peers.cancel(*found);
}

} // namespace oleander::fakes
