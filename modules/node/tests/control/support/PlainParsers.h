#pragma once

#include <oleander/node/SectionParsers.h>

#include <algorithm>
#include <sstream>
#include <string>

namespace oleander::testing {

/// Parsers of a simple text format that tests of the control plane use in place of
/// modules/settings.
///
/// config: the fleet name, then any text. instances: one line each with id, data centre and,
/// optionally, "leaving". services: names separated by spaces. partitions: service and snapshot. A
/// text that contains "bad" is invalid.
inline SectionParsers plainParsers()
{
    const auto isBad = [](std::string_view text, Reason &reason) {
        const bool found = text.find("bad") != std::string_view::npos;
        if (found)
            reason.set(ErrorKind::BadRequest, "$: bad");
        return found;
    };
    SectionParsers parsers;
    parsers.policySet = [isBad](std::string_view text, SectionVersion version,
                                Reason &reason) -> std::optional<PolicySet> {
        if (isBad(text, reason))
            return std::nullopt;
        PolicySet set;
        std::istringstream stream{std::string(text)};
        std::string fleet;
        stream >> fleet;
        set.fleet = FleetId(fleet);
        set.version = version;
        return set;
    };
    parsers.instanceList = [isBad](std::string_view text, SectionVersion version,
                                   Reason &reason) -> std::optional<InstanceList> {
        if (isBad(text, reason))
            return std::nullopt;
        InstanceList list;
        list.version = version;
        std::istringstream lines{std::string(text)};
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            std::string id;
            std::string dataCentre;
            std::string leaving;
            words >> id >> dataCentre >> leaving;
            list.instances.push_back({InstanceId(id), DataCentreId(dataCentre), id + ":peer",
                                      id + ":pages", leaving == "leaving"});
        }
        std::ranges::sort(list.instances, {}, &Instance::id);
        return list;
    };
    parsers.serviceNames = [isBad](std::string_view text, SectionVersion,
                                   Reason &reason) -> std::optional<std::vector<ServiceId>> {
        if (isBad(text, reason))
            return std::nullopt;
        std::vector<ServiceId> services;
        std::istringstream stream{std::string(text)};
        for (std::string name; stream >> name;)
            services.emplace_back(name);
        return services;
    };
    parsers.partitionMap = [isBad](std::string_view text, SectionVersion version,
                                   Reason &reason) -> std::optional<PartitionMap> {
        if (isBad(text, reason))
            return std::nullopt;
        PartitionMap map;
        std::istringstream stream{std::string(text)};
        std::string service;
        std::uint64_t snapshot = 0;
        stream >> service >> snapshot;
        map.service = ServiceId(service);
        map.snapshot = SnapshotId(snapshot);
        map.version = version;
        return map;
    };
    return parsers;
}

} // namespace oleander::testing
