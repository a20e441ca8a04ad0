#pragma once

#include "TestGateway.h"

#include <oleander/gateway/GatherDelegation.h>
#include <oleander/gateway/GatherServer.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleander::gateway::testing {

class CoordinatedInstance;

/// Calls between simulated instances, with a fixed network delay.
class PeerMesh
{
public:
    explicit PeerMesh(VirtualScheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }

    Duration oneWayDelay = microseconds(500);

    void add(CoordinatedInstance &instance);
    /// The process ends: calls in progress are lost, further ones are refused.
    void kill(const InstanceId &instance);
    /// Nothing reaches the instance or leaves it.
    void setSilent(const InstanceId &instance, bool isSilent) { m_isSilent[instance] = isSilent; }
    /// New calls are refused; those in progress go on.
    void beginStop(const InstanceId &instance) { m_isStopping[instance] = true; }

    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback);
    void cancel(PeerCallId call);
    void probe(const Instance &peer, Duration timeout, std::function<void(bool)> callback);

    /// Calls made so far.
    [[nodiscard]] std::uint64_t calls() const { return m_lastCall; }

private:
    class Responder;
    struct Call
    {
        InstanceId peer;
        PeerCallback callback;
        std::weak_ptr<Responder> responder;
    };

    void deliver(PeerCallId id, PeerRequest request);
    void finish(PeerCallId id, PeerOutcome outcome);
    bool isSilent(const InstanceId &instance) { return m_isSilent[instance]; }
    bool isReachable(const InstanceId &instance)
    {
        return m_instances.contains(instance) && !isSilent(instance);
    }

    VirtualScheduler &m_scheduler;
    std::map<InstanceId, CoordinatedInstance *> m_instances;
    std::map<InstanceId, bool> m_isSilent;
    std::map<InstanceId, bool> m_isStopping;
    std::map<PeerCallId, Call> m_calls;
    std::uint64_t m_lastCall = 0;
};

/// A gateway instance that hands gathered requests to coordinators, and executes those of others.
class CoordinatedInstance final : private PeerNetwork, private PeerProber
{
public:
    CoordinatedInstance(VirtualScheduler &scheduler, PeerMesh &mesh, ServerLinkFactory &links,
                        const GatewayPolicy &policy, int number, const std::string &dataCentre,
                        std::size_t fleetSize, std::optional<std::uint64_t> seed = {})
        : description(describe(number, dataCentre))
        , local(scheduler, links, policy, seed.value_or(static_cast<std::uint64_t>(number) + 1),
                dataCentre)
        , delegation(description.id, description.dataCentre, local.fleet, *this, *this, local.timer,
                     local.log, local.policy, [fleetSize] { return std::optional(fleetSize); })
        , server(local.gateway, local.timer, local.policy)
        , m_mesh(mesh)
    {
        local.gateway.setDelegation(&delegation);
        mesh.add(*this);
    }

    static Instance describe(int number, const std::string &dataCentre)
    {
        Instance instance;
        instance.id = InstanceId("instance-" + std::to_string(number));
        instance.dataCentre = DataCentreId(dataCentre);
        instance.peerAddress = "10.9.0." + std::to_string(number + 1) + ":7000";
        return instance;
    }

    Instance description;
    TestInstance local;
    GatherDelegation delegation;
    GatherServer server;

private:
    // PeerNetwork
    PeerCallId call(const Instance &peer, PeerRequest request, Duration timeLeft,
                    PeerCallback callback) override
    {
        return m_mesh.call(peer, std::move(request), timeLeft, std::move(callback));
    }
    void cancel(PeerCallId call) override { m_mesh.cancel(call); }
    void setHandler(PeerHandler *) override {}
    void beginStop() override {}
    // PeerProber
    void probe(const Instance &peer, Duration timeout,
               std::function<void(bool isResponsive)> callback) override
    {
        m_mesh.probe(peer, timeout, std::move(callback));
    }

    PeerMesh &m_mesh;
};

} // namespace oleander::gateway::testing
