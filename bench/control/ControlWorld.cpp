#include "ControlWorld.h"

#include <oleander/node/SettingsParsers.h>

#include <nlohmann/json.hpp>

namespace oleander::bench {

namespace {

using nlohmann::json;

constexpr Duration insideDataCentre = microseconds(250);
constexpr Duration betweenDataCentres = microseconds(1500);
constexpr Duration betweenRegions = milliseconds(35);

std::string padded(int number, int digits)
{
    std::string text = std::to_string(number);
    return std::string(static_cast<std::size_t>(digits) - text.size(), '0') + text;
}

std::string serviceName(int number)
{
    return "service-" + padded(number, 2);
}

std::string addressOf(int number, int port)
{
    return "10." + std::to_string(number / 65536) + "." + std::to_string(number / 256 % 256) + "."
           + std::to_string(number % 256) + ":" + std::to_string(port);
}

int dataCentreNumber(const Instance &instance)
{
    return std::stoi(instance.dataCentre.text().substr(instance.dataCentre.text().size() - 1));
}

json serverJson(const std::string &id, int number, int dataCentres)
{
    return {{"id", id},
            {"dataCentre", "dc-" + std::to_string(number % dataCentres)},
            {"address", addressOf(number, 9000)},
            {"slots", 2},
            {"connectionCap", 60}};
}

} // namespace

ControlWorld::ControlWorld(const WorldSizes &sizes, std::uint64_t seed)
    : ControlFleet(settingsParsers(), seed)
    , m_sizes(sizes)
{
    settings.fleet = FleetId("target");
    json names = json::array();
    for (int service = 0; service < sizes.services; ++service) {
        names.push_back(serviceName(service));
        publishPartitions(service);
    }
    platform.publish("services", json{{"services", names}}.dump());
    publishConfig();
    std::vector<Instance> all;
    all.reserve(static_cast<std::size_t>(sizes.daemons));
    for (int number = 0; number < sizes.daemons; ++number)
        all.push_back(instance(number));
    publishInstances(all);
    cutRegions(false);
    network.latency = [border = sizes.firstOfSecondRegion](const Instance &left,
                                                           const Instance &right) {
        const int from = dataCentreNumber(left);
        const int to = dataCentreNumber(right);
        if (from == to)
            return insideDataCentre;
        return (from < border) == (to < border) ? betweenDataCentres : betweenRegions;
    };
}

Instance ControlWorld::instance(int number) const
{
    return {InstanceId("daemon-" + padded(number, 4)),
            DataCentreId("dc-" + std::to_string(dataCentreOf(number))), addressOf(number, 7000),
            addressOf(number, 7001), false};
}

void ControlWorld::startAll()
{
    for (int number = 0; number < m_sizes.daemons; ++number)
        start(instance(number));
}

SectionVersion ControlWorld::publishConfig()
{
    ++m_changes;
    const std::string text = configText();
    m_bytes["config"] = text.size();
    return platform.publish("config", text);
}

SectionVersion ControlWorld::publishPartitions(int service)
{
    ++m_changes;
    const std::string text = partitionsText(service);
    m_bytes["partitions"] = text.size();
    return platform.publish("partitions/" + serviceName(service), text);
}

SectionVersion ControlWorld::publishInstances(const std::vector<Instance> &instances)
{
    m_listed = instances;
    json list = json::array();
    for (const Instance &instance : instances) {
        list.push_back({{"id", instance.id.text()},
                        {"dataCentre", instance.dataCentre.text()},
                        {"peerAddress", instance.peerAddress},
                        {"operatorAddress", instance.operatorAddress}});
        if (instance.isLeaving)
            list.back()["leaving"] = true;
    }
    const std::string text = json{{"instances", list}}.dump();
    m_bytes["instances"] = text.size();
    return platform.publish("instances", text);
}

void ControlWorld::cutRegions(bool isCut)
{
    network.isCut = [isCut, border = m_sizes.firstOfSecondRegion](const Instance &left,
                                                                  const Instance &right) {
        return isCut && (dataCentreNumber(left) < border) != (dataCentreNumber(right) < border);
    };
}

std::size_t ControlWorld::bytesOf(const std::string &section) const
{
    return m_bytes.at(section);
}

std::string ControlWorld::configText() const
{
    json exceptions = json::array();
    for (int number = 0; number < m_sizes.exceptions; ++number) {
        exceptions.push_back({{"name", "exception-" + std::to_string(number)},
                              {"covers", {{"backend", "backend-" + std::to_string(number)}}},
                              {"reason", "a reason of usual length, agreed with its owners"},
                              {"values", {{"hedging", m_changes % 2 == 0}}}});
    }
    const json defaults{{"tailLimitMs", 50 + m_changes % 10}, {"patience", "tail"}};
    return json{{"fleet", "target"}, {"defaults", defaults}, {"exceptions", exceptions}}.dump();
}

std::string ControlWorld::partitionsText(int service) const
{
    const int servers = m_sizes.servers / m_sizes.services;
    json serverList = json::array();
    for (int number = 0; number < servers; ++number) {
        const int global = service * servers + number;
        serverList.push_back(
            serverJson("server-" + padded(global, 4), global, m_sizes.dataCentres));
    }
    json shards = json::array();
    for (int number = 0; number < m_sizes.shards; ++number) {
        const bool isLast = number + 1 == m_sizes.shards;
        json replicas{serverList[static_cast<std::size_t>(2 * number % servers)]["id"],
                      serverList[static_cast<std::size_t>((2 * number + 1) % servers)]["id"]};
        shards.push_back({{"id", padded(number, 2)},
                          {"firstKey", number == 0 ? "" : padded(number, 2)},
                          {"endKey", isLast ? "" : padded(number + 1, 2)},
                          {"replicas", replicas}});
    }
    return json{{"backend", "backend-0"},
                {"service", serviceName(service)},
                {"snapshot", m_changes},
                {"shards", shards},
                {"servers", serverList}}
        .dump();
}

} // namespace oleander::bench
