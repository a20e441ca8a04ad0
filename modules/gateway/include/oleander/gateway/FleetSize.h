#pragma once

#include <oleander/core/Ids.h>

#include <optional>
#include <unordered_set>

namespace oleander::gateway {

/// Estimates the number of instances in the fleet.
///
/// Limits shared by all instances, such as a server's connections, are divided by this number. An
/// estimate that is too low is worse than one that is too high, because unresponsive or
/// disconnected instances still use their share. The estimate therefore never decreases.
class FleetSize
{
public:
    explicit FleetSize(const InstanceId &self) { m_knownInstances.insert(self); }

    /// Called when a beacon of another instance was received.
    void onBeacon(const InstanceId &instance);
    /// Takes into account the number of instances known to another instance.
    void addReportedCount(std::size_t count);

    /// Number of known instances, including this one.
    [[nodiscard]] std::size_t heardOf() const { return m_knownInstances.size(); }
    /// The estimate, or nothing while no other instance is known.
    [[nodiscard]] std::optional<std::size_t> estimate() const;

private:
    std::unordered_set<InstanceId> m_knownInstances;
    std::size_t m_highestReportedCount = 0;
};

} // namespace oleander::gateway
