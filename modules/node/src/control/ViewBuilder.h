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

/// Turns sections into the values of a FleetView, and refuses those that are not valid.
class ViewBuilder
{
public:
    ViewBuilder(SectionParsers parsers, FleetId fleet);

    /// Parses a section and, when it is valid, holds its value in place of the earlier one.
    bool take(const Section &section, Reason &reason);

    // What is held
    /// The list of instances as published, or null.
    [[nodiscard]] const std::shared_ptr<const InstanceList> &instances() const
    {
        return m_instances;
    }
    /// Whether configuration, list of instances and service names are held.
    [[nodiscard]] bool hasBaseSections() const;
    /// Listed services without a partition map.
    [[nodiscard]] int missingPartitions() const;
    /// Every section that has to be read, as far as known.
    [[nodiscard]] std::vector<std::string> sectionNames() const;

    /// The view of what is held. Instances that said they are leaving are marked so.
    [[nodiscard]] std::shared_ptr<const FleetView> build(const PeerEvidence &evidence) const;

private:
    bool takePolicies(const Section &section, Reason &reason);
    bool takeInstances(const Section &section, Reason &reason);
    bool takeServices(const Section &section, Reason &reason);
    bool takePartitions(const Section &section, const ServiceId &service, Reason &reason);

    SectionParsers m_parsers;
    FleetId m_fleet;
    std::shared_ptr<const PolicySet> m_policies;
    std::shared_ptr<const InstanceList> m_instances;
    std::optional<std::vector<ServiceId>> m_services;
    std::map<ServiceId, std::shared_ptr<const PartitionMap>> m_partitions;
};

} // namespace oleander
