#include <oleander/bench/Scenario.h>
#include <oleander/standins/ServerStandin.h>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace oleander::bench {

namespace {

using nlohmann::json;
using standins::FleetPorts;
using standins::FleetShape;
using standins::ServiceShape;

constexpr double percent = 100;

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string contentOf(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The customer's fleet, cut to the one service under load unless all are.
std::optional<FleetShape> fleetOf(const RunName &run, const RunSettings &settings, Reason &reason)
{
    auto shape = standins::fleetNamed(run.customer.name, reason);
    if (!shape)
        return std::nullopt;
    if (!run.scenario.isWholeFleet) {
        shape->instances = settings.instances;
        std::erase_if(shape->services, [&](const ServiceShape &service) {
            return service.service != run.customer.service;
        });
    }
    shape->basePort = settings.basePort;
    shape->defaults["patience"] = json(std::string(nameOf(run.customer.patience))).dump();
    for (const auto &[name, value] : run.scenario.defaults)
        shape->defaults[name] = value;
    if (run.variant == Variant::Straight)
        shape->defaults["coordinators"] = std::to_string(shape->instances);
    return shape;
}

/// Queries a second that fill every slot of the service.
double capacityOf(const ServiceShape &service, Duration serviceTime)
{
    constexpr double microsInSecond = 1e6;
    const double slots = static_cast<double>(service.servers) * service.slots;
    const double subRequests = slots * microsInSecond / static_cast<double>(serviceTime.count());
    return subRequests / service.shards;
}

std::vector<std::string> shardNames(const std::string &folder, const std::string &service)
{
    std::vector<std::string> names;
    const auto map = json::parse(contentOf(folder + "/partitions/" + service + ".json"));
    for (const auto &shard : map.at("shards"))
        names.push_back(shard.at("id").get<std::string>());
    return names;
}

QueryClass classOf(const ServiceShape &service, const char *caller, double rate)
{
    QueryClass query;
    query.caller = caller;
    query.backend = service.backend;
    query.service = service.service;
    query.rate = rate;
    query.deadline = milliseconds(1000);
    return query;
}

std::vector<QueryClass> classesOf(const RunName &run, const ServiceShape &service, double capacity)
{
    const auto &scenario = run.scenario;
    const double rate = capacity * scenario.loadPercent / percent;
    std::vector<QueryClass> classes;
    classes.push_back(classOf(service, "desk", rate * (percent - scenario.claimPercent) / percent));
    if (scenario.claimPercent > 0) {
        classes.push_back(classOf(service, "claims", rate * scenario.claimPercent / percent));
        classes.back().isIdempotent = false;
    }
    if (scenario.urgentPercent > 0) {
        classes.front().urgency = Urgency::Bulk;
        classes.push_back(
            classOf(service, "engineer", capacity * scenario.urgentPercent / percent));
        classes.back().urgency = Urgency::Urgent;
    }
    if (scenario.crashRequests > 0) {
        constexpr double crashesASecond = 4;
        classes.push_back(classOf(service, "crasher", crashesASecond));
        classes.back().payload = standins::crashMarker;
        classes.back().repeats = scenario.crashRequests;
    }
    return classes;
}

/// The classes of queries to one service.
void addClasses(std::vector<QueryClass> &classes, const RunName &run, const ServiceShape &service,
                const RunSettings &settings)
{
    const auto shards = shardNames(settings.folder, service.service);
    for (auto &query : classesOf(run, service, capacityOf(service, settings.serviceTime))) {
        query.shards = shards;
        classes.push_back(std::move(query));
    }
}

std::string withService(std::string target, const std::string &service)
{
    const std::string mark = "SERVICE";
    const auto found = target.find(mark);
    return found == std::string::npos ? target : target.replace(found, mark.size(), service);
}

/// The partition map of the next snapshot, with each shard's replicas on the next shard's servers.
std::string nextPartitions(const std::string &folder, const std::string &service)
{
    auto map = json::parse(contentOf(folder + "/partitions/" + service + ".json"));
    map["snapshot"] = map["snapshot"].get<std::uint64_t>() + 1;
    auto &shards = map["shards"];
    const auto first = shards.front()["replicas"];
    for (std::size_t index = 0; index + 1 < shards.size(); ++index)
        shards[index]["replicas"] = shards[index + 1]["replicas"];
    shards.back()["replicas"] = first;
    return map.dump();
}

std::vector<PlannedAction> actionsOf(const RunName &run, const RunSettings &settings)
{
    const FleetPorts ports{settings.basePort};
    std::vector<PlannedAction> actions;
    const auto &service = run.customer.service;
    for (const auto &[at, target] : run.scenario.serverActions)
        actions.push_back(
            {at, loopback(ports.serversAdmin()), "POST", withService(target, service), ""});
    for (const auto &[at, target] : run.scenario.platformActions)
        actions.push_back({at, loopback(ports.platformAdmin()), "POST", target, ""});
    if (run.scenario.repartitionAt > Duration{}) {
        actions.push_back({run.scenario.repartitionAt, loopback(ports.platformAdmin()), "PUT",
                           "/values/partitions/" + service,
                           nextPartitions(settings.folder, service)});
    }
    return actions;
}

void writeArguments(const RunName &run, const RunSettings &settings)
{
    constexpr int coldMs = 2000;
    std::ofstream arguments(settings.folder + "/servers.args");
    arguments << "--service-us " << settings.serviceTime.count() << " --network-us "
              << run.customer.networkDelay.count() << " --stragglers " << run.scenario.stragglers
              << " --cold-ms " << coldMs << " --seed " << settings.seed << '\n';
    std::ofstream actions(settings.folder + "/daemon-actions");
    for (const auto &action : run.scenario.daemonActions) {
        const auto at = std::chrono::duration_cast<milliseconds>(settings.warmUp + action.at);
        actions << at.count() << ' ' << action.instance << ' ' << action.action << '\n';
    }
}

} // namespace

std::optional<LoadPlan> prepareRun(const RunName &run, const RunSettings &settings, Reason &reason)
{
    const auto shape = fleetOf(run, settings, reason);
    if (!shape || !writeFleet(*shape, settings.folder, reason))
        return std::nullopt;
    const FleetPorts ports{settings.basePort};
    LoadPlan plan;
    plan.name = run.text();
    plan.warmUp = settings.warmUp;
    plan.length = settings.length;
    plan.drain = milliseconds(1300);
    plan.seed = settings.seed;
    for (int instance = 0; instance < shape->instances; ++instance)
        plan.targets.push_back(loopback(ports.caller(instance)));
    plan.serversAdmin = loopback(ports.serversAdmin());
    plan.platformAdmin = loopback(ports.platformAdmin());
    for (const auto &service : shape->services)
        addClasses(plan.classes, run, service, settings);
    plan.actions = actionsOf(run, settings);
    writeArguments(run, settings);
    std::ofstream(settings.folder + "/load.json") << loadPlanText(plan) << '\n';
    return plan;
}

} // namespace oleander::bench
