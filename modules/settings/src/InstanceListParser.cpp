#include "JsonText.h"
#include "ObjectReader.h"

#include <oleander/settings/InstanceListParser.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace oleander {

namespace {

using nlohmann::json;

constexpr std::size_t maximumInstances = 4096;
constexpr std::size_t maximumServices = 16384;

Instance readInstance(const json &value, const std::string &path, Findings &findings)
{
    ObjectReader reader(value, path, findings);
    Instance instance;
    instance.id = reader.id<InstanceId>("id");
    instance.dataCentre = reader.id<DataCentreId>("dataCentre");
    instance.peerAddress = reader.address("peerAddress");
    instance.operatorAddress = reader.address("operatorAddress");
    instance.isLeaving = reader.boolean("leaving", Presence::Optional).value_or(false);
    reader.finish();
    return instance;
}

void readInstances(const json &list, InstanceList &result, Findings &findings)
{
    std::set<InstanceId> ids;
    std::set<std::string> addresses;
    for (std::size_t index = 0; index < list.size(); ++index) {
        const std::string path = elementPath("$.instances", index);
        Instance instance = readInstance(list[index], path, findings);
        if (!instance.id.isEmpty() && !ids.insert(instance.id).second)
            findings.push_back({memberPath(path, "id"),
                                "\"" + instance.id.text() + "\" stands twice in the list"});
        for (const std::string &address : {instance.peerAddress, instance.operatorAddress}) {
            if (!address.empty() && !addresses.insert(address).second)
                findings.push_back({path, "address " + address + " stands twice in the list"});
        }
        result.instances.push_back(std::move(instance));
    }
    std::ranges::sort(result.instances, {}, &Instance::id);
}

} // namespace

std::optional<InstanceList> readInstanceList(std::string_view text, SectionVersion version,
                                             Findings &findings)
{
    const std::size_t before = findings.size();
    const std::optional<json> document = readJson(text, findings);
    if (!document)
        return std::nullopt;
    ObjectReader reader(*document, "$", findings);
    InstanceList result;
    result.version = version;
    if (const json *list = reader.list("instances", 1, maximumInstances, Presence::Required))
        readInstances(*list, result, findings);
    reader.finish();
    if (findings.size() != before)
        return std::nullopt;
    return result;
}

std::optional<InstanceList> parseInstanceList(std::string_view text, SectionVersion version,
                                              Reason &reason)
{
    Findings findings;
    std::optional<InstanceList> result = readInstanceList(text, version, findings);
    setReason(findings, reason);
    return result;
}

std::optional<std::vector<ServiceId>> readServiceNames(std::string_view text, Findings &findings)
{
    const std::size_t before = findings.size();
    const std::optional<json> document = readJson(text, findings);
    if (!document)
        return std::nullopt;
    ObjectReader reader(*document, "$", findings);
    std::vector<ServiceId> services;
    const json *list = reader.list("services", 0, maximumServices, Presence::Required);
    std::set<std::string> seen;
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const json &value = (*list)[index];
        const std::string path = elementPath("$.services", index);
        const std::string name = value.is_string() ? value.get<std::string>() : std::string();
        if (!isName(name))
            findings.push_back({path, "must be " + std::string(nameRule)});
        else if (!seen.insert(name).second)
            findings.push_back({path, "\"" + name + "\" stands twice"});
        else
            services.emplace_back(name);
    }
    reader.finish();
    if (findings.size() != before)
        return std::nullopt;
    return services;
}

std::optional<std::vector<ServiceId>> parseServiceNames(std::string_view text, Reason &reason)
{
    Findings findings;
    std::optional<std::vector<ServiceId>> result = readServiceNames(text, findings);
    setReason(findings, reason);
    return result;
}

} // namespace oleander
