#include "ControlRoles.h"

#include "SectionNames.h"

#include <algorithm>
#include <optional>
#include <set>

namespace oleander {

namespace {

bool hasInstance(const InstanceList &list, const InstanceId &id)
{
    return std::ranges::find(list.instances, id, &Instance::id) != list.instances.end();
}

void addSubstitutes(ControlRoles &roles, const std::vector<std::string> &substitutes,
                    std::size_t instances, const PlatformRules &rules, std::size_t rotation)
{
    const std::size_t budget = static_cast<std::size_t>(rules.substituteBudget);
    const std::size_t allowed =
        std::max<std::size_t>(1, budget / std::max<std::size_t>(1, instances));
    if (substitutes.size() <= allowed) {
        for (const std::string &section : substitutes)
            roles.sectionsToRead[section] = rules.watchWait;
        return;
    }
    roles.rotatesSections = true;
    for (std::size_t index = 0; index < allowed; ++index) {
        const std::string &section = substitutes[(rotation * allowed + index) % substitutes.size()];
        roles.sectionsToRead[section] = rules.substituteWait;
    }
}

void addComparisonPeers(ControlRoles &roles, const InstanceList &list,
                        const std::set<InstanceId> &precedingReaders, const PeerEvidence &evidence)
{
    roles.comparisonPeers = roles.neighbours;
    for (const Instance &instance : list.instances) {
        if (!precedingReaders.contains(instance.id) || !isUsable(instance, evidence))
            continue;
        const bool isNeighbour = std::ranges::find(roles.neighbours, instance.id, &Instance::id)
                                 != roles.neighbours.end();
        if (!isNeighbour)
            roles.comparisonPeers.push_back(instance);
    }
}

} // namespace

ControlRoles controlRoles(const InstanceList &published, const std::vector<std::string> &sections,
                          const PeerEvidence &evidence, const ControlSettings &settings,
                          std::size_t rotation)
{
    ControlRoles roles;
    std::optional<InstanceList> extended;
    if (!hasInstance(published, settings.self.id)) {
        extended = published;
        extended->instances.push_back(settings.self);
        roles.sectionsToRead[std::string(sections::instances)] = settings.platform.watchWait;
    }
    const InstanceList &list = extended ? *extended : published;
    std::vector<std::string> substitutes;
    std::set<InstanceId> precedingReaders;
    for (const std::string &section : sections) {
        const ReaderRole duty =
            readerRole(section, list, evidence, settings.self.id, settings.platform.readers);
        precedingReaders.insert(duty.ahead.begin(), duty.ahead.end());
        if (duty.isSubstitute)
            substitutes.push_back(section);
        else if (duty.isReader)
            roles.sectionsToRead[section] = settings.platform.watchWait;
    }
    addSubstitutes(roles, substitutes, list.instances.size(), settings.platform, rotation);
    roles.neighbours = gossipNeighbours(list, evidence, settings.self, settings.gossip.neighbours);
    addComparisonPeers(roles, list, precedingReaders, evidence);
    return roles;
}

} // namespace oleander
