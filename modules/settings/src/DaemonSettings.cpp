#include "JsonText.h"
#include "ObjectReader.h"

#include <oleander/settings/Address.h>
#include <oleander/settings/DaemonSettings.h>

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

using nlohmann::json;

constexpr std::size_t maximumPlatformAddresses = 16;
constexpr NumberRange threadRange{1, 256, "threads"};
constexpr std::size_t minimumKeyBytes = 16;
constexpr std::size_t maximumKeyBytes = 256;

std::vector<std::string> readPlatformAddresses(ObjectReader &reader, Findings &findings)
{
    std::vector<std::string> addresses;
    const json *list =
        reader.list("platformAddresses", 1, maximumPlatformAddresses, Presence::Required);
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const json &value = (*list)[index];
        if (value.is_string() && parseAddress(value.get<std::string>()))
            addresses.push_back(value.get<std::string>());
        else
            findings.push_back({elementPath(reader.pathOf("platformAddresses"), index),
                                "must be an IP number and a port from 1 to 65535"});
    }
    return addresses;
}

std::string readPeerKey(ObjectReader &reader)
{
    const std::optional<std::string> key = reader.string("peerKey", Presence::Required);
    if (!key)
        return {};
    if (key->size() < minimumKeyBytes || key->size() > maximumKeyBytes)
        reader.report("peerKey", "must have " + std::to_string(minimumKeyBytes) + " to "
                                     + std::to_string(maximumKeyBytes) + " bytes");
    return *key;
}

} // namespace

std::optional<DaemonSettings> readDaemonSettings(std::string_view text, Findings &findings)
{
    const std::size_t before = findings.size();
    const std::optional<json> document = readJson(text, findings);
    if (!document)
        return std::nullopt;
    ObjectReader reader(*document, "$", findings);
    DaemonSettings settings;
    settings.instance = reader.id<InstanceId>("instance");
    settings.fleet = reader.id<FleetId>("fleet");
    settings.dataCentre = reader.id<DataCentreId>("dataCentre");
    settings.callerAddress = reader.address("callerAddress");
    settings.peerAddress = reader.address("peerAddress");
    settings.operatorAddress = reader.address("operatorAddress");
    settings.platformAddresses = readPlatformAddresses(reader, findings);
    settings.workerThreads = static_cast<int>(
        reader.integer("workerThreads", threadRange, Presence::Optional).value_or(1));
    settings.peerKey = readPeerKey(reader);
    reader.finish();
    if (findings.size() != before)
        return std::nullopt;
    return settings;
}

std::optional<DaemonSettings> parseDaemonSettings(std::string_view text, Reason &reason)
{
    Findings findings;
    std::optional<DaemonSettings> settings = readDaemonSettings(text, findings);
    setReason(findings, reason);
    return settings;
}

} // namespace oleander
