#include "FakePeers.h"

#include <algorithm>

namespace oleander::fakes {

/// Answers one call. Dropping it unanswered leaves the caller without a proof.
class FakeResponder final : public PeerResponder
{
public:
    FakeResponder(FakePeers &peers, FakePeers::CallRef call)
        : m_peers(peers)
        , m_call(std::move(call))
    {
    }
    ~FakeResponder() override
    {
        if (!m_isAnswered)
            m_peers.finish(m_call, {PeerCallStatus::MaybeProcessed, std::nullopt},
                           m_peers.m_oneWay);
    }

    void reply(PeerReply reply) override
    {
        m_peers.m_history.reach(Step::Merged, m_call->query.caller, m_call->query.request);
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
        m_peers.finish(m_call, std::move(outcome), m_peers.m_oneWay);
    }

    FakePeers &m_peers;
    FakePeers::CallRef m_call;
    bool m_isAnswered = false;
};

FakePeers::FakePeers(VirtualClock &clock, History &history, std::uint64_t seed)
    : m_clock(clock)
    , m_history(history)
    , m_random(seed)
{
}

std::unique_ptr<FakePeerPort> FakePeers::join(const InstanceId &id, VirtualHost &host)
{
    auto port = std::make_unique<FakePeerPort>(*this, id, host);
    m_ports[id] = port.get();
    return port;
}

bool FakePeers::isCut(const InstanceId &first, const InstanceId &second) const
{
    return m_cuts.contains(std::minmax(first, second));
}

void FakePeers::setConnected(const InstanceId &first, const InstanceId &second, bool isConnected)
{
    const std::pair<InstanceId, InstanceId> link = std::minmax(first, second);
    if (isConnected)
        m_cuts.erase(link);
    else
        m_cuts.insert(link);
}

void FakePeers::lose(const InstanceId &id)
{
    // A process that stopped as planned has told up to which call it processed.
    const bool wasStopping = m_ports.contains(id) && m_ports.at(id)->m_isStopping;
    m_ports.erase(id);
    for (auto &[peer, port] : m_ports)
        port->m_sessions.erase(id);
    const auto calls = m_calls;
    for (const CallRef &call : calls) {
        if (call->to == id) {
            call->isUnsent = call->isUnsent || (wasStopping && !call->isSeen);
            fail(call, m_oneWay);
        }
        if (call->from == id)
            cancel(call);
    }
}

void FakePeers::start(const CallRef &call, PeerRequest request, Duration timeLeft)
{
    std::erase_if(m_calls, [](const CallRef &each) { return each->isDone; });
    m_calls.push_back(call);
    // The caller's own timer: a call never outlives its time.
    m_clock.after(timeLeft, call->caller->index(), [this, call] { fail(call, Duration{}); });
    if (const auto *query = std::get_if<PeerQuery>(&request)) {
        call->query = query->query;
        m_history.reach(Step::Forwarded, call->query.caller, call->query.request);
    }
    const Duration pause = call->caller->takePauseAtSend();
    const auto port = m_ports.find(call->to);
    auto &sessions = m_ports.at(call->from)->m_sessions;
    const bool isLinkUp = port != m_ports.end() && !isCut(call->from, call->to);
    call->isUnsent = !isLinkUp && !sessions.contains(call->to);
    if (port == m_ports.end())
        fail(call, 2 * m_oneWay);
    if (!isLinkUp)
        return;
    sessions.insert(call->to);
    call->peer = &port->second->m_host;
    call->peer->run(m_oneWay + pause,
                    [this, call, request = std::move(request)] { arrive(call, request); });
}

void FakePeers::arrive(const CallRef &call, const PeerRequest &request)
{
    const auto port = m_ports.find(call->to);
    if (port == m_ports.end() || isCut(call->from, call->to))
        return;
    // A cancel that is already there may or may not be seen first.
    if (call->isDone && m_random.chance(500))
        return;
    FakePeerPort &peer = *port->second;
    call->isSeen = true;
    if (peer.m_handler == nullptr || peer.m_isStopping) {
        finish(call, {PeerCallStatus::NotProcessed, std::nullopt}, m_oneWay);
        return;
    }
    peer.m_handler->onPeerRequest(request, std::make_shared<FakeResponder>(*this, call));
    m_history.reach(Step::Queued, call->query.caller, call->query.request);
}

void FakePeers::finish(const CallRef &call, PeerOutcome outcome, Duration delay)
{
    if (isCut(call->from, call->to) && delay > Duration{})
        return;
    call->caller->run(delay, [call, outcome = std::move(outcome)] {
        if (!std::exchange(call->isDone, true))
            call->callback(outcome);
    });
}

void FakePeers::fail(const CallRef &call, Duration delay)
{
    if (call->isDone)
        return;
    const bool isProved = call->isUnsent;
    const PeerCallStatus proof =
        isProved ? PeerCallStatus::NotProcessed : PeerCallStatus::MaybeProcessed;
    call->caller->run(delay, [this, call, proof] {
        if (std::exchange(call->isDone, true))
            return;
        stopAtPeer(call);
        call->callback({proof, std::nullopt});
    });
}

void FakePeers::cancel(const CallRef &call)
{
    if (!std::exchange(call->isDone, true))
        stopAtPeer(call);
}

void FakePeers::stopAtPeer(const CallRef &call)
{
    if (call->peer == nullptr || isCut(call->from, call->to))
        return;
    call->peer->run(m_oneWay, [call] {
        if (call->onCancel)
            std::exchange(call->onCancel, nullptr)();
    });
}

FakePeerPort::FakePeerPort(FakePeers &peers, InstanceId id, VirtualHost &host)
    : m_peers(peers)
    , m_id(std::move(id))
    , m_host(host)
{
}

FakePeerPort::~FakePeerPort()
{
    const auto own = m_peers.m_ports.find(m_id);
    if (own != m_peers.m_ports.end() && own->second == this)
        m_peers.m_ports.erase(own);
}

PeerCallId FakePeerPort::call(const Instance &peer, PeerRequest request, Duration timeLeft,
                              PeerCallback callback)
{
    const auto call = std::make_shared<FakePeers::Call>();
    call->id = PeerCallId(++m_peers.m_lastCall);
    call->from = m_id;
    call->to = peer.id;
    call->caller = &m_host;
    call->callback = std::move(callback);
    m_peers.start(call, std::move(request), timeLeft);
    return call->id;
}

void FakePeerPort::cancel(PeerCallId call)
{
    const auto found =
        std::ranges::find(m_peers.m_calls, call, [](const auto &each) { return each->id; });
    if (found != m_peers.m_calls.end())
        m_peers.cancel(*found);
}

} // namespace oleander::fakes
