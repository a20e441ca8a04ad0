#include <oleander/standins/FleetFiles.h>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>

namespace oleander::standins {

namespace {

using nlohmann::ordered_json;
namespace fs = std::filesystem;

/// Shared by the daemons of a fleet on loopback; not a secret.
constexpr const char *peerKey = "loopback-fleet-key";

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string numbered(const std::string &name, int number)
{
    std::string digits = std::to_string(number + 1);
    while (digits.size() < 2)
        digits.insert(digits.begin(), '0');
    return name + '-' + digits;
}

const std::string &dataCentreOf(const FleetShape &shape, int index)
{
    return shape.dataCentres[static_cast<std::size_t>(index) % shape.dataCentres.size()];
}

bool writeJson(const fs::path &path, const ordered_json &value)
{
    constexpr int indent = 2;
    std::error_code ignored;
    fs::create_directories(path.parent_path(), ignored);
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << value.dump(indent) << '\n';
    return file.good();
}

/// Keys are spread over the shards by their first three letters.
std::string firstKeyOf(int shard, int shards)
{
    if (shard == 0)
        return {};
    constexpr int letters = 26;
    const int position = letters * letters * shard / shards;
    return {static_cast<char>('a' + position / letters),
            static_cast<char>('a' + position % letters)};
}

ordered_json shardOf(const ServiceShape &service, int shard)
{
    ordered_json replicas = ordered_json::array();
    for (int replica = 0; replica < service.replicas; ++replica) {
        const int server = (shard * service.replicas + replica) % service.servers;
        replicas.push_back(numbered(service.service + "-server", server));
    }
    const bool isLast = shard + 1 == service.shards;
    return {{"id", numbered("shard", shard)},
            {"firstKey", firstKeyOf(shard, service.shards)},
            {"endKey", isLast ? std::string() : firstKeyOf(shard + 1, service.shards)},
            {"replicas", replicas}};
}

ordered_json serverOf(const FleetShape &shape, const ServiceShape &service, int server, int port)
{
    return {{"id", numbered(service.service + "-server", server)},
            {"dataCentre", dataCentreOf(shape, server)},
            {"address", loopback(port)},
            {"slots", service.slots},
            {"connectionCap", service.connectionCap}};
}

ordered_json partitionsOf(const FleetShape &shape, const ServiceShape &service, int firstServer)
{
    const FleetPorts ports{shape.basePort};
    ordered_json shards = ordered_json::array();
    for (int shard = 0; shard < service.shards; ++shard)
        shards.push_back(shardOf(service, shard));
    ordered_json servers = ordered_json::array();
    for (int server = 0; server < service.servers; ++server)
        servers.push_back(serverOf(shape, service, server, ports.server(firstServer + server)));
    return {{"backend", service.backend},
            {"service", service.service},
            {"snapshot", shape.snapshot},
            {"shards", shards},
            {"servers", servers}};
}

ordered_json instancesOf(const FleetShape &shape)
{
    const FleetPorts ports{shape.basePort};
    ordered_json instances = ordered_json::array();
    for (int index = 0; index < shape.instances; ++index) {
        instances.push_back({{"id", numbered("entry", index)},
                             {"dataCentre", dataCentreOf(shape, index)},
                             {"peerAddress", loopback(ports.peer(index))},
                             {"operatorAddress", loopback(ports.operators(index))}});
    }
    return {{"instances", instances}};
}

ordered_json settingsOf(const FleetShape &shape, int index)
{
    const FleetPorts ports{shape.basePort};
    return {{"instance", numbered("entry", index)},
            {"fleet", shape.fleet},
            {"dataCentre", dataCentreOf(shape, index)},
            {"callerAddress", loopback(ports.caller(index))},
            {"peerAddress", loopback(ports.peer(index))},
            {"operatorAddress", loopback(ports.operators(index))},
            {"platformAddresses", ordered_json::array({loopback(ports.platform())})},
            {"workerThreads", shape.workerThreads},
            {"peerKey", peerKey}};
}

std::optional<ordered_json> configOf(const FleetShape &shape, Reason &reason)
{
    ordered_json defaults = ordered_json::object();
    for (const auto &[name, text] : shape.defaults) {
        defaults[name] = ordered_json::parse(text, nullptr, false);
        if (defaults[name].is_discarded()) {
            reason.set(ErrorKind::BadRequest, "defaults: the value of " + name + " is no JSON");
            return std::nullopt;
        }
    }
    return ordered_json{
        {"fleet", shape.fleet}, {"defaults", defaults}, {"exceptions", ordered_json::array()}};
}

/// Writes the partition maps and servers.json; returns the number of servers.
std::optional<int> writeServices(const FleetShape &shape, const fs::path &root)
{
    int servers = 0;
    ordered_json names = ordered_json::array();
    ordered_json costs = ordered_json::object();
    for (const auto &service : shape.services) {
        const auto path = root / "partitions" / (service.service + ".json");
        if (!writeJson(path, partitionsOf(shape, service, servers)))
            return std::nullopt;
        for (int server = 0; server < service.servers; ++server) {
            costs[numbered(service.service + "-server", server)] = {
                {"connectionUs", service.connectionCost.count()}};
        }
        names.push_back(service.service);
        servers += service.servers;
    }
    const bool isWritten = writeJson(root / "services.json", {{"services", names}})
                           && writeJson(root / "servers.json", costs);
    return isWritten ? std::optional(servers) : std::nullopt;
}

ServiceShape smallPairs(const char *backend, int shards, int connectionCap)
{
    ServiceShape service;
    service.backend = backend;
    service.service = backend;
    service.shards = shards;
    service.servers = 2 * shards;
    service.connectionCap = connectionCap;
    return service;
}

ServiceShape sharedServers(const char *backend, int servers, int slots, int connectionCap)
{
    ServiceShape service;
    service.backend = backend;
    service.service = backend;
    service.shards = 2 * servers;
    service.servers = servers;
    service.slots = slots;
    service.connectionCap = connectionCap;
    service.connectionCost = milliseconds(1);
    return service;
}

} // namespace

std::optional<FleetShape> fleetNamed(const std::string &name, Reason &reason)
{
    FleetShape shape;
    shape.fleet = name;
    if (name == "demo") {
        shape.services = {smallPairs("session-dashboard", 20, 60)};
    } else if (name == "amms") {
        shape.instances = 20;
        shape.services = {
            smallPairs("session-dashboard", 20, 60), smallPairs("label-portal", 30, 60),
            sharedServers("client-notes", 10, 4, 240), sharedServers("studio-billing", 5, 4, 240)};
    } else if (name == "fotolector") {
        shape.instances = 20;
        shape.dataCentres = {"lima-a", "lima-b", "lima-c", "lima-d"};
        shape.services = {smallPairs("photo-desk", 20, 50), smallPairs("submission-intake", 30, 50),
                          sharedServers("archive-credits", 20, 2, 70),
                          sharedServers("contributor-notification", 10, 2, 70)};
    } else {
        reason.set(ErrorKind::BadRequest, "no fleet '" + name + "': demo, amms or fotolector");
        return std::nullopt;
    }
    return shape;
}

std::optional<int> writeFleet(const FleetShape &shape, const std::string &folder, Reason &reason)
{
    const fs::path root(folder);
    const auto config = configOf(shape, reason);
    if (!config)
        return std::nullopt;
    const auto servers = writeServices(shape, root);
    bool isWritten = servers.has_value() && writeJson(root / "config.json", *config)
                     && writeJson(root / "instances.json", instancesOf(shape));
    for (int index = 0; index < shape.instances; ++index) {
        const auto path = root / "settings" / (numbered("entry", index) + ".json");
        isWritten = isWritten && writeJson(path, settingsOf(shape, index));
    }
    if (isWritten)
        return servers;
    reason.set(ErrorKind::Internal, folder + ": can not be written");
    return std::nullopt;
}

} // namespace oleander::standins
