#pragma once

#include <oleander/decisions/request/LatencyWindow.h>
#include <oleander/gateway/CoordinatorDirectory.h>
#include <oleander/gateway/GatewayPolicy.h>
#include <oleander/gateway/Route.h>
#include <oleander/gateway/ServerFleet.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/PeerNetwork.h>
#include <oleander/ports/TimerService.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace oleander::gateway {

/// The rules of a gathered route as sent to coordinators.
[[nodiscard]] GatherRules gatherRules(const Route &route);
[[nodiscard]] std::uint64_t digestOf(const GatherRules &rules);

/// Decides whether gathered requests are executed by coordinators, and by which.
///
/// A gathered request asks every shard. When many instances share few connections to a server, each
/// knows little of the servers, and connections are opened for single requests. A few coordinators
/// that execute the gathered requests of all instances keep their connections in use, and know how
/// fast and how loaded each server is. They stand in data centres that hold servers of the shards,
/// so that only the merged answer crosses between data centres.
///
/// Coordinators are used when the servers accept less than two connections of each instance.
/// Otherwise a further hop gains nothing.
class GatherDelegation
{
public:
    /// Number of instances in the fleet, if known.
    using InstanceCount = std::function<std::optional<std::size_t>()>;

    /// All references must outlive the delegation.
    GatherDelegation(InstanceId self, DataCentreId dataCentre, ServerFleet &fleet,
                     PeerNetwork &peers, PeerProber &prober, TimerService &timer, EventLog &log,
                     const GatewayPolicy &policy, InstanceCount countInstances);
    GatherDelegation(const GatherDelegation &) = delete;
    GatherDelegation &operator=(const GatherDelegation &) = delete;

    // Updates
    /// Called with the coordinators that a seed has elected.
    void onCoordinators(const InstanceId &seed, std::vector<Instance> coordinators);
    /// Decides anew whether coordinators are used and whether this instance is one. Called
    /// periodically by the delegation itself.
    void evaluate();

    // State
    /// True when requests of the route are to be handed to a coordinator.
    [[nodiscard]] bool isActiveFor(const Route &route) const;
    [[nodiscard]] std::size_t coordinators() const { return m_active.size(); }
    /// The elected coordinators, whether they are in use or not; sorted by id.
    [[nodiscard]] const std::vector<Instance> &known() const { return m_directory.known(); }
    [[nodiscard]] bool isCoordinator() const { return m_isCoordinator; }
    [[nodiscard]] const InstanceId &self() const { return m_self; }

    // Calls
    [[nodiscard]] std::optional<Instance> choose(const std::vector<InstanceId> &excluded) const;
    /// The coordinator for the shards of a data centre other than the own one, or nothing.
    [[nodiscard]] std::optional<Instance> chooseIn(const DataCentreId &dataCentre) const;
    /// Data centres of coordinators in use, other than the own one.
    [[nodiscard]] std::vector<DataCentreId> otherDataCentres() const;
    /// Time that a reply needs on its way from a coordinator.
    [[nodiscard]] Duration hopTime() const;
    void noteReply(const InstanceId &coordinator, const PeerGatherReply &reply, Duration latency);
    void noteFailure(const InstanceId &coordinator, const RequestId &request, const char *cause);
    [[nodiscard]] PeerNetwork &peers() { return m_peers; }
    [[nodiscard]] PeerProber &prober() { return m_prober; }

private:
    /// Opens the session for the first call ahead.
    void connectAhead();

    InstanceId m_self;
    DataCentreId m_dataCentre;
    ServerFleet &m_fleet;
    PeerNetwork &m_peers;
    PeerProber &m_prober;
    TimerService &m_timer;
    EventLog &m_log;
    const GatewayPolicy &m_policy;
    InstanceCount m_countInstances;
    CoordinatorDirectory m_directory;
    std::vector<DataCentreId> m_dataCentres;
    /// Coordinators in use, sorted by id; empty while none are used.
    std::vector<Instance> m_active;
    bool m_isCoordinator = false;
    std::optional<InstanceId> m_connectedAhead;
    LatencyWindow m_hopTimes;
    /// Lets callbacks of probes detect the destruction of the delegation.
    std::shared_ptr<char> m_lifetime = std::make_shared<char>();
    Subscription m_evaluation;
};

} // namespace oleander::gateway
