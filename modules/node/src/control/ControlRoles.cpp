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
                    std::size_t instances, const PlatformRules &rules, std::size_t turn)
{
    const std::size_t budget = static_cast<std::size_t>(rules.substituteBudget);
    const std::size_t allowed =
        std::max<std::size_t>(1, budget / std::max<std::size_t>(1, instances));
    if (substitutes.size() <= allowed) {
        for (const std::string &section : substitutes)
            roles.duties[section] = rules.watchWait;
        return;
    }
    roles.takesTurns = true;
    for (std::size_t index = 0; index < allowed; ++index) {
        const std::string &section = substitutes[(turn * allowed + index) % substitutes.size()];
        roles.duties[section] = rules.substituteWait;
    }
}

void addCompared(ControlRoles &roles, const InstanceList &list, const std::set<InstanceId> &ahead,
                 const PeerEvidence &evidence)
{
    roles.compared = roles.neighbours;
    for (const Instance &instance : list.instances) {
        if (!ahead.contains(instance.id) || !isUsable(instance, evidence))
            continue;
        const bool isThere = std::ranges::find(roles.neighbours, instance.id, &Instance::id)
                             != roles.neighbours.end();
        if (!isThere)
            roles.compared.push_back(instance);
    }
}

} // namespace

ControlRoles controlRoles(const InstanceList &published, const std::vector<std::string> &sections,
                          const PeerEvidence &evidence, const ControlSettings &settings,
                          std::size_t turn)
{
    ControlRoles roles;
    std::optional<InstanceList> extended;
    if (!hasInstance(published, settings.self.id)) {
        extended = published;
        extended->instances.push_back(settings.self);
        roles.duties[std::string(sections::instances)] = settings.platform.watchWait;
    }
    const InstanceList &list = extended ? *extended : published;
    std::vector<std::string> substitutes;
    std::set<InstanceId> ahead;
    for (const std::string &section : sections) {
        const ReaderRole duty =
            readerRole(section, list, evidence, settings.self.id, settings.platform.readers);
        ahead.insert(duty.ahead.begin(), duty.ahead.end());
        if (duty.isSubstitute)
            substitutes.push_back(section);
        else if (duty.isReader)
            roles.duties[section] = settings.platform.watchWait;
    }
    addSubstitutes(roles, substitutes, list.instances.size(), settings.platform, turn);
    roles.neighbours = gossipNeighbours(list, evidence, settings.self, settings.gossip.neighbours);
    addCompared(roles, list, ahead, evidence);
    return roles;
}

} // namespace oleander
