#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Reason.h>
#include <oleander/core/Section.h>
#include <oleander/decisions/control/PeerChoice.h>
#include <oleander/node/SectionParsers.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// Parses sections into the parts of a FleetView and refuses invalid ones.
class ViewBuilder
{
public:
    ViewBuilder(SectionParsers parsers, FleetId fleet);

    /// Parses a section and, if it is valid, replaces the value held for it.
    bool apply(const Section &section, Reason &reason);

    // Held values
    /// The list of instances as published, or null.
    [[nodiscard]] const std::shared_ptr<const InstanceList> &instances() const
    {
        return m_instances;
    }
    /// Whether the configuration, the list of instances and the service names are held.
    [[nodiscard]] bool hasBaseSections() const;
    /// Number of published services whose partition map is not held.
    [[nodiscard]] int missingPartitions() const;
    /// Names of all sections that have to be read, as far as they are known.
    [[nodiscard]] std::vector<std::string> sectionNames() const;

    /// Builds a view of the held values. Instances that announced that they are leaving are marked
    /// as leaving.
    [[nodiscard]] std::shared_ptr<const FleetView> build(const PeerEvidence &evidence) const;

private:
    bool applyPolicies(const Section &section, Reason &reason);
    bool applyInstances(const Section &section, Reason &reason);
    bool applyServiceNames(const Section &section, Reason &reason);
    bool applyPartitionMap(const Section &section, const ServiceId &service, Reason &reason);

    SectionParsers m_parsers;
    FleetId m_fleet;
    std::shared_ptr<const PolicySet> m_policies;
    std::shared_ptr<const InstanceList> m_instances;
    std::optional<std::vector<ServiceId>> m_services;
    std::map<ServiceId, std::shared_ptr<const PartitionMap>> m_partitions;
};

} // namespace oleander
