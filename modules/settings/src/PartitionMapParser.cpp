#include "JsonText.h"
#include "ObjectReader.h"

#include <oleander/settings/PartitionMapParser.h>

#include <nlohmann/json.hpp>

#include <set>

namespace oleander {

namespace {

using nlohmann::json;

constexpr std::size_t maximumShards = 4096;
constexpr std::size_t maximumServers = 8192;
constexpr std::size_t maximumReplicas = 16;
constexpr std::size_t maximumKeyBytes = 256;
constexpr NumberRange slotRange{1, 1024, "requests at the same time"};
constexpr NumberRange capRange{1, 100000, "connections"};
constexpr NumberRange snapshotRange{1, INT64_MAX, "snapshot number"};

Server readServer(const json &value, const std::string &path, Findings &findings)
{
    ObjectReader reader(value, path, findings);
    Server server;
    server.id = reader.id<ServerId>("id");
    server.dataCentre = reader.id<DataCentreId>("dataCentre");
    server.address = reader.address("address");
    server.slots = static_cast<int>(
        reader.integer("slots", slotRange, Presence::Required).value_or(slotRange.minimum));
    server.connectionCap = static_cast<int>(
        reader.integer("connectionCap", capRange, Presence::Required).value_or(capRange.minimum));
    server.isLeaving = reader.boolean("leaving", Presence::Optional).value_or(false);
    reader.finish();
    return server;
}

void readServers(const json &list, PartitionMap &map, Findings &findings)
{
    std::set<std::string> addresses;
    for (std::size_t index = 0; index < list.size(); ++index) {
        const std::string path = elementPath("$.servers", index);
        Server server = readServer(list[index], path, findings);
        if (server.id.isEmpty())
            continue;
        if (!server.address.empty() && !addresses.insert(server.address).second)
            findings.push_back({memberPath(path, "address"),
                                server.address + " is the address of an earlier server"});
        const std::string id = server.id.text();
        if (!map.servers.emplace(server.id, std::move(server)).second)
            findings.push_back({memberPath(path, "id"), "\"" + id + "\" stands twice"});
    }
}

std::vector<ServerId> readReplicas(ObjectReader &reader, const PartitionMap &map,
                                   Findings &findings)
{
    std::vector<ServerId> replicas;
    const json *list = reader.list("replicas", 1, maximumReplicas, Presence::Required);
    std::set<std::string> seen;
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const json &value = (*list)[index];
        const std::string path = elementPath(reader.pathOf("replicas"), index);
        if (!value.is_string() || !isName(value.get<std::string>())) {
            findings.push_back({path, "must be " + std::string(nameRule)});
            continue;
        }
        ServerId replica(value.get<std::string>());
        if (!seen.insert(replica.text()).second)
            findings.push_back({path, "\"" + replica.text() + "\" stands twice in the shard"});
        if (!map.servers.contains(replica))
            findings.push_back({path, "\"" + replica.text() + "\" is no server of this map"});
        replicas.push_back(std::move(replica));
    }
    return replicas;
}

std::string readKey(ObjectReader &reader, std::string_view name)
{
    std::string key = reader.string(name, Presence::Required).value_or("");
    if (key.size() > maximumKeyBytes)
        reader.report(name, "must have at most " + std::to_string(maximumKeyBytes) + " bytes");
    return key;
}

/// Each range must begin where the one before it ended, and the ends must be open.
void checkRanges(const PartitionMap &map, Findings &findings)
{
    std::string expected;
    for (std::size_t index = 0; index < map.shards.size(); ++index) {
        const Shard &shard = map.shards[index];
        const std::string path = elementPath("$.shards", index);
        const bool isLast = index + 1 == map.shards.size();
        if (shard.firstKey != expected)
            findings.push_back({memberPath(path, "firstKey"),
                                "must be \"" + expected
                                    + "\", where the shard before it ends, not \"" + shard.firstKey
                                    + "\"; ranges may neither overlap nor leave " + "a gap"});
        if (isLast && !shard.endKey.empty())
            findings.push_back({memberPath(path, "endKey"),
                                "must be empty for the last shard, so that all keys are covered"});
        if (!isLast && shard.endKey <= shard.firstKey)
            findings.push_back({memberPath(path, "endKey"),
                                "must be above firstKey; only the last shard has an open end"});
        expected = shard.endKey;
    }
}

void readShards(const json &list, PartitionMap &map, Findings &findings)
{
    std::set<ShardId> ids;
    for (std::size_t index = 0; index < list.size(); ++index) {
        const std::string path = elementPath("$.shards", index);
        ObjectReader reader(list[index], path, findings);
        Shard shard;
        shard.id = reader.id<ShardId>("id");
        shard.firstKey = readKey(reader, "firstKey");
        shard.endKey = readKey(reader, "endKey");
        shard.replicas = readReplicas(reader, map, findings);
        reader.finish();
        if (!shard.id.isEmpty() && !ids.insert(shard.id).second)
            reader.report("id", "\"" + shard.id.text() + "\" stands twice");
        map.shards.push_back(std::move(shard));
    }
    checkRanges(map, findings);
}

} // namespace

std::optional<PartitionMap> readPartitionMap(std::string_view text, SectionVersion version,
                                             Findings &findings)
{
    const std::size_t before = findings.size();
    const std::optional<json> document = readJson(text, findings);
    if (!document)
        return std::nullopt;
    ObjectReader reader(*document, "$", findings);
    PartitionMap map;
    map.version = version;
    map.backend = reader.id<BackendId>("backend");
    map.service = reader.id<ServiceId>("service");
    const auto snapshot = reader.integer("snapshot", snapshotRange, Presence::Required);
    map.snapshot = SnapshotId(static_cast<std::uint64_t>(snapshot.value_or(0)));
    if (const json *servers = reader.list("servers", 1, maximumServers, Presence::Required))
        readServers(*servers, map, findings);
    if (const json *shards = reader.list("shards", 1, maximumShards, Presence::Required))
        readShards(*shards, map, findings);
    reader.finish();
    if (findings.size() != before)
        return std::nullopt;
    return map;
}

std::optional<PartitionMap> parsePartitionMap(std::string_view text, SectionVersion version,
                                              Reason &reason)
{
    Findings findings;
    std::optional<PartitionMap> map = readPartitionMap(text, version, findings);
    setReason(findings, reason);
    return map;
}

} // namespace oleander
