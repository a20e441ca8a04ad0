#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/control/PeerChoice.h>
#include <oleander/gateway/FleetMembers.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Beacons come every three seconds, and single ones are lost.
constexpr Duration memberLifetime = seconds(7);
/// Elections are repeated at most once in this time while members change.
constexpr Duration electionPeriod = milliseconds(250);
/// Several times the largest fleet; anyone can send beacons under any number of names.
constexpr std::size_t maximumMembers = 8192;
constexpr double minimumRelativeStrength = 0.5;
constexpr std::size_t instancesPerCoordinator = 6;
constexpr std::size_t minimumCoordinators = 3;
/// Traffic of a coordinator that uses one core: merging 90 parts of a kilobyte takes about 1.5 ms
/// of a core, and they are about a megabit on the wire.
constexpr double linkMbpsPerCore = 650;
/// The list of coordinators has to fit into one datagram.
constexpr std::size_t maximumCoordinators = 32;
/// Key of the rendezvous hash that chooses among equal instances.
constexpr const char *electionKey = "coordinators";

} // namespace

double coordinatorStrength(double processorShare, std::optional<double> linkMbps)
{
    return linkMbps ? std::min(processorShare, *linkMbps / linkMbpsPerCore) : processorShare;
}

std::vector<Instance> electCoordinators(std::span<const CoordinatorCandidate> candidates)
{
    double highest = 0;
    for (const CoordinatorCandidate &candidate : candidates)
        highest = std::max(highest, candidate.strength);
    InstanceList strong;
    for (const CoordinatorCandidate &candidate : candidates) {
        if (candidate.strength >= minimumRelativeStrength * highest)
            strong.instances.push_back(candidate.instance);
    }
    std::ranges::sort(strong.instances, {}, &Instance::id);
    const std::size_t limit =
        std::clamp((candidates.size() + instancesPerCoordinator - 1) / instancesPerCoordinator,
                   minimumCoordinators, maximumCoordinators);
    if (strong.instances.size() <= limit)
        return strong.instances;
    const auto chosen = coordinatorsFor(ServiceId(electionKey), strong, static_cast<int>(limit));
    std::erase_if(strong.instances, [&chosen](const Instance &instance) {
        return std::ranges::find(chosen, instance.id) == chosen.end();
    });
    return strong.instances;
}

void FleetMembers::onBeacon(const Instance &instance, double strength, TimePoint now)
{
    if (instance.isLeaving) {
        m_isChanged = m_members.erase(instance.id) > 0 || m_isChanged;
        return;
    }
    if (m_members.size() >= maximumMembers && !m_members.contains(instance.id))
        return;
    Member &member = m_members[instance.id];
    m_isChanged = m_isChanged || member.candidate.instance != instance
                  || member.candidate.strength != strength;
    member = {{instance, strength}, now};
}

const std::vector<Instance> &FleetMembers::coordinators(TimePoint now)
{
    if (now - m_electedAt < electionPeriod)
        return m_elected;
    const auto lost = std::erase_if(m_members, [now](const auto &entry) {
        return now - entry.second.lastHeard > memberLifetime;
    });
    if (!m_isChanged && lost == 0)
        return m_elected;
    std::vector<CoordinatorCandidate> candidates;
    candidates.reserve(m_members.size());
    for (const auto &[id, member] : m_members)
        candidates.push_back(member.candidate);
    m_elected = electCoordinators(candidates);
    m_list.instances.clear();
    for (const CoordinatorCandidate &candidate : candidates)
        m_list.instances.push_back(candidate.instance);
    std::ranges::sort(m_list.instances, {}, &Instance::id);
    m_neighbours.clear();
    m_electedAt = now;
    m_isChanged = false;
    return m_elected;
}

const std::vector<Instance> &FleetMembers::neighboursOf(const InstanceId &member)
{
    static const std::vector<Instance> none;
    const auto known = m_neighbours.find(member);
    if (known != m_neighbours.end())
        return known->second;
    const auto found = std::ranges::find(m_list.instances, member, &Instance::id);
    if (found == m_list.instances.end())
        return none;
    return m_neighbours[member] = gossipNeighbours(m_list, {}, *found, {});
}

} // namespace oleander::gateway
