#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Units.h>

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace oleander::gateway {

/// An instance that could coordinate gathered requests.
struct CoordinatorCandidate
{
    Instance instance;
    /// What the instance can do as a coordinator, in cores.
    double strength = 0;
};

/// What an instance can do as a coordinator, in cores: its processor share, or what its link
/// carries. All parts of a gathered request come over the link of its coordinator.
[[nodiscard]] double coordinatorStrength(double processorShare, std::optional<double> linkMbps);

/// Chooses the instances that coordinate gathered requests: those with at least half of the
/// strength of the strongest. If these are more than a sixth of the fleet, as in a fleet of equal
/// instances, only so many of them are chosen, spread over the data centres by rendezvous hashing.
/// Sorted by id.
[[nodiscard]] std::vector<Instance>
electCoordinators(std::span<const CoordinatorCandidate> candidates);

/// The instances that a seed hears beacons of, from which it elects the coordinators.
///
/// Seeds hear the same beacons and therefore elect the same coordinators, but for those that have
/// just come or gone.
class FleetMembers
{
public:
    /// Called for each beacon. `instance.isLeaving` removes the instance.
    void onBeacon(const Instance &instance, double strength, TimePoint now);
    /// The elected coordinators. Instances not heard of for a few beacons are left out.
    [[nodiscard]] const std::vector<Instance> &coordinators(TimePoint now);
    /// The gossip neighbours of `member` among the members of the last election, see
    /// gossipNeighbours(). Empty for an instance that was none of them.
    [[nodiscard]] const std::vector<Instance> &neighboursOf(const InstanceId &member);

private:
    struct Member
    {
        CoordinatorCandidate candidate;
        TimePoint lastHeard{};
    };

    std::unordered_map<InstanceId, Member> m_members;
    InstanceList m_list;
    /// Computed on demand, until the list changes.
    std::unordered_map<InstanceId, std::vector<Instance>> m_neighbours;
    std::vector<Instance> m_elected;
    TimePoint m_electedAt{};
    bool m_isChanged = true;
};

} // namespace oleander::gateway
