#include "SimulatedPeers.h"

#include <utility>

namespace oleander::gateway::testing {

class PeerMesh::Responder final : public PeerResponder
{
public:
    Responder(PeerMesh &mesh, PeerCallId id)
        : m_mesh(mesh)
        , m_id(id)
    {
    }

    void reply(PeerReply reply) override
    {
        m_onCancel = nullptr;
        finishLater({PeerCallStatus::Replied, std::move(reply)});
    }
    void refuse() override
    {
        m_onCancel = nullptr;
        finishLater({PeerCallStatus::NotProcessed, std::nullopt});
    }
    void onCancel(std::function<void()> callback) override { m_onCancel = std::move(callback); }

    void cancelled()
    {
        if (const auto callback = std::exchange(m_onCancel, nullptr))
            callback();
    }

private:
    void finishLater(PeerOutcome outcome)
    {
        m_mesh.m_scheduler.schedule(m_mesh.m_scheduler.now() + m_mesh.oneWayDelay,
                                    [&mesh = m_mesh, id = m_id, outcome = std::move(outcome)] {
                                        mesh.finish(id, outcome);
                                    });
    }

    PeerMesh &m_mesh;
    PeerCallId m_id;
    std::function<void()> m_onCancel;
};

void PeerMesh::add(CoordinatedInstance &instance)
{
    m_instances[instance.description.id] = &instance;
}

void PeerMesh::kill(const InstanceId &instance)
{
    m_instances.erase(instance);
    std::vector<PeerCallId> lost;
    for (const auto &[id, call] : m_calls) {
        if (call.peer == instance)
            lost.push_back(id);
    }
    for (const PeerCallId id : lost)
        finish(id, {PeerCallStatus::MaybeProcessed, std::nullopt});
}

PeerCallId PeerMesh::call(const Instance &peer, PeerRequest request, Duration timeLeft,
                          PeerCallback callback)
{
    const PeerCallId id(++m_lastCall);
    m_calls[id] = {peer.id, std::move(callback), {}};
    m_scheduler.schedule(
        m_scheduler.now() + oneWayDelay,
        [this, id, request = std::move(request)]() mutable { deliver(id, std::move(request)); });
    m_scheduler.schedule(m_scheduler.now() + timeLeft, [this, id] {
        finish(id, {PeerCallStatus::MaybeProcessed, std::nullopt});
    });
    return id;
}

void PeerMesh::deliver(PeerCallId id, PeerRequest request)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const InstanceId peer = found->second.peer;
    if (!m_instances.contains(peer) || m_isStopping[peer]) {
        finish(id, {PeerCallStatus::NotProcessed, std::nullopt});
        return;
    }
    if (isSilent(peer))
        return;
    const auto responder = std::make_shared<Responder>(*this, id);
    found->second.responder = responder;
    m_instances[peer]->server.serve(std::move(std::get<PeerGather>(request)), responder);
}

void PeerMesh::cancel(PeerCallId id)
{
    const auto node = m_calls.extract(id);
    if (node.empty())
        return;
    m_scheduler.schedule(m_scheduler.now() + oneWayDelay, [responder = node.mapped().responder] {
        if (const auto held = responder.lock())
            held->cancelled();
    });
}

void PeerMesh::probe(const Instance &peer, Duration timeout, std::function<void(bool)> callback)
{
    m_scheduler.schedule(
        m_scheduler.now() + timeout,
        [this, id = peer.id, callback = std::move(callback)] { callback(isReachable(id)); });
}

void PeerMesh::finish(PeerCallId id, PeerOutcome outcome)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || isSilent(found->second.peer))
        return;
    const auto node = m_calls.extract(found);
    node.mapped().callback(std::move(outcome));
}

} // namespace oleander::gateway::testing
