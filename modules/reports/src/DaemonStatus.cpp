#include <oleander/reports/DaemonStatus.h>

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

using nlohmann::json;

constexpr double microsecondsInMillisecond = 1000;

/// A duration in milliseconds that may be null or missing.
std::optional<Duration> durationAt(const json &document, const char *key)
{
    const auto found = document.find(key);
    if (found == document.end() || found->is_null())
        return std::nullopt;
    const double microseconds = found->get<double>() * microsecondsInMillisecond;
    return Duration(static_cast<Duration::rep>(microseconds));
}

/// "version 13: why", or nothing when no configuration stands refused.
std::string refusedConfigurationIn(const json &document)
{
    const auto sections = document.find("sections");
    if (sections == document.end())
        return {};
    for (const json &section : *sections) {
        if (section.at("name") != "config" || !section.contains("refusedVersion"))
            continue;
        const auto version = section.at("refusedVersion").get<std::uint64_t>();
        return "version " + std::to_string(version) + ": "
               + section.value("refusedReason", std::string());
    }
    return {};
}

DaemonStatus statusFrom(const json &document)
{
    DaemonStatus status;
    status.instance = InstanceId(document.at("instance").get<std::string>());
    status.dataCentre = DataCentreId(document.at("dataCentre").get<std::string>());
    status.isReady = document.at("ready").get<bool>();
    status.notReadyReason = document.value("notReadyReason", std::string());
    status.isStopping = document.at("stopping").get<bool>();
    status.configuration = SectionVersion(document.at("configurationVersion").get<std::uint64_t>());
    status.configurationAge = durationAt(document, "configurationAgeMs");
    status.refusedConfiguration = refusedConfigurationIn(document);
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
