#include <oleander/reports/DaemonStatus.h>

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

using nlohmann::json;

std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

Duration durationAt(const json &document, const char *key)
{
    return milliseconds(document.at(key).get<std::int64_t>());
}

DaemonStatus statusFrom(const json &document)
{
    DaemonStatus status;
    status.instance = InstanceId(document.at("instance").get<std::string>());
    status.dataCentre = DataCentreId(document.at("dataCentre").get<std::string>());
    status.isReady = document.at("ready").get<bool>();
    status.isStopping = document.at("stopping").get<bool>();
    status.uptime = durationAt(document, "uptimeMs");
    status.configuration = SectionVersion(document.at("configuration").get<std::uint64_t>());
    status.configurationAge = durationAt(document, "configurationAgeMs");
    for (const json &service : document.at("coordinated"))
        status.coordinated.emplace_back(service.get<std::string>());
    status.connections = document.at("connections").get<int>();
    status.activeQueries = document.at("activeQueries").get<std::uint64_t>();
    status.waitingSubRequests = document.at("waitingSubRequests").get<std::uint64_t>();
    status.refusals = document.at("refusals").get<std::uint64_t>();
    status.suspicions = document.at("suspicions").get<int>();
    return status;
}

} // namespace

std::string toJson(const DaemonStatus &status)
{
    json coordinated = json::array();
    for (const ServiceId &service : status.coordinated)
        coordinated.push_back(service.text());
    const json document{{"instance", status.instance.text()},
                        {"dataCentre", status.dataCentre.text()},
                        {"ready", status.isReady},
                        {"stopping", status.isStopping},
                        {"uptimeMs", wholeMilliseconds(status.uptime)},
                        {"configuration", status.configuration.value()},
                        {"configurationAgeMs", wholeMilliseconds(status.configurationAge)},
                        {"coordinated", coordinated},
                        {"connections", status.connections},
                        {"activeQueries", status.activeQueries},
                        {"waitingSubRequests", status.waitingSubRequests},
                        {"refusals", status.refusals},
                        {"suspicions", status.suspicions}};
    return document.dump();
}

std::optional<DaemonStatus> parseDaemonStatus(std::string_view text, Reason &reason)
{
    try {
        return statusFrom(json::parse(text));
    } catch (const json::exception &error) {
        reason.set(ErrorKind::BadRequest, std::string("no status document: ") + error.what());
        return std::nullopt;
    }
}

} // namespace oleander
