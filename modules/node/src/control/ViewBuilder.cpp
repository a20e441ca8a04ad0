#include "ViewBuilder.h"

#include "SectionNames.h"

#include <algorithm>
#include <ranges>

namespace oleander {

ViewBuilder::ViewBuilder(SectionParsers parsers, FleetId fleet)
    : m_parsers(std::move(parsers))
    , m_fleet(std::move(fleet))
{
}

bool ViewBuilder::apply(const Section &section, Reason &reason)
{
    const std::string &name = section.summary.name;
    if (name == sections::config)
        return applyPolicies(section, reason);
    if (name == sections::instances)
        return applyInstances(section, reason);
    if (name == sections::services)
        return applyServiceNames(section, reason);
    if (const auto service = sections::serviceOf(name))
        return applyPartitionMap(section, *service, reason);
    reason.set(ErrorKind::BadRequest, name + ": no such section");
    return false;
}

bool ViewBuilder::hasBaseSections() const
{
    return m_policies && m_instances && m_services;
}

int ViewBuilder::missingPartitions() const
{
    if (!m_services)
        return 0;
    return static_cast<int>(std::ranges::count_if(
        *m_services, [this](const ServiceId &service) { return !m_partitions.contains(service); }));
}

std::vector<std::string> ViewBuilder::sectionNames() const
{
    std::vector<std::string> names{std::string(sections::config), std::string(sections::instances),
                                   std::string(sections::services)};
    if (!m_services)
        return names;
    for (const ServiceId &service : *m_services)
        names.push_back(sections::partitionsOf(service));
    return names;
}

std::shared_ptr<const FleetView> ViewBuilder::build(const PeerEvidence &evidence) const
{
    auto view = std::make_shared<FleetView>();
    view->policies = m_policies;
    view->instances = m_instances;
    const bool isAnyLeaving = std::ranges::any_of(
        evidence.entries, [](const auto &item) { return item.second.kind == Evidence::Leaving; });
    if (m_instances && isAnyLeaving) {
        auto marked = withLeavingMarked(*m_instances, evidence);
        view->instances = std::make_shared<const InstanceList>(std::move(marked));
    }
    if (!m_services)
        return view;
    for (const ServiceId &service : *m_services) {
        const auto held = m_partitions.find(service);
        if (held != m_partitions.end())
            view->partitions.insert(*held);
    }
    return view;
}

bool ViewBuilder::applyPolicies(const Section &section, Reason &reason)
{
    auto policies = m_parsers.policySet(section.body, section.summary.version, reason);
    if (!policies)
        return false;
    if (!m_fleet.isEmpty() && policies->fleet != m_fleet) {
        reason.set(ErrorKind::BadRequest,
                   "$.fleet: " + policies->fleet.text() + " is not " + m_fleet.text());
        return false;
    }
    m_policies = std::make_shared<const PolicySet>(std::move(*policies));
    return true;
}

bool ViewBuilder::applyInstances(const Section &section, Reason &reason)
{
    auto list = m_parsers.instanceList(section.body, section.summary.version, reason);
    if (!list)
        return false;
    m_instances = std::make_shared<const InstanceList>(std::move(*list));
    return true;
}

bool ViewBuilder::applyServiceNames(const Section &section, Reason &reason)
{
    auto services = m_parsers.serviceNames(section.body, section.summary.version, reason);
    if (!services)
        return false;
    m_services = std::move(*services);
    return true;
}

bool ViewBuilder::applyPartitionMap(const Section &section, const ServiceId &service,
                                    Reason &reason)
{
    auto map = m_parsers.partitionMap(section.body, section.summary.version, reason);
    if (!map)
        return false;
    if (map->service != service) {
        reason.set(ErrorKind::BadRequest,
                   "$.service: " + map->service.text() + " stands under " + section.summary.name);
        return false;
    }
    m_partitions[service] = std::make_shared<const PartitionMap>(std::move(*map));
    return true;
}

} // namespace oleander
