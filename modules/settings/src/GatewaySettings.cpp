#include "JsonText.h"
#include "ObjectReader.h"

#include <oleander/settings/GatewaySettings.h>

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

using nlohmann::json;

constexpr NumberRange heartbeatRange{10, 600'000, "ms"};
constexpr NumberRange descriptorRange{64, 1 << 24, "descriptors"};
/// The process itself needs some 10 MB with few servers; less than this leaves no room for
/// requests.
constexpr NumberRange memoryRange{32, 1 << 24, "MB"};
constexpr std::size_t maximumSeeds = 64;
constexpr std::size_t shortestFleetKey = 8;
constexpr double longestStop = 3600;
constexpr double longestWindow = 3600;
constexpr double largestShare = 1;
constexpr double smallestProcessorShare = 0.001;
constexpr double largestProcessorShare = 4096;
constexpr double largestAllowance = 1e9;
constexpr double smallestLinkMbps = 0.1;
constexpr double largestLinkMbps = 1e6;

Address readAddress(ObjectReader &reader, std::string_view key)
{
    return parseAddress(reader.address(key)).value_or(Address{});
}

std::vector<Address> readSeeds(ObjectReader &reader, Findings &findings)
{
    std::vector<Address> seeds;
    const json *list = reader.list("seeds", 0, maximumSeeds, Presence::Required);
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const json &value = (*list)[index];
        const auto address =
            value.is_string() ? parseAddress(value.get<std::string>()) : std::nullopt;
        if (address)
            seeds.push_back(*address);
        else
            findings.push_back({elementPath(reader.pathOf("seeds"), index),
                                "must be an IP number and a port from 1 to 65535"});
    }
    return seeds;
}

Duration inDuration(std::optional<double> number)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(number.value_or(0)));
}

void readExtraLoad(const json &object, const std::string &path, GatewaySettings &settings,
                   Findings &findings)
{
    ObjectReader reader(object, path, findings);
    settings.extraShare = reader.number("share", 0, largestShare, Presence::Required).value_or(0);
    settings.extraAllowance =
        reader.number("allowance", 0, largestAllowance, Presence::Required).value_or(0);
    settings.extraWindow =
        inDuration(reader.number("windowSeconds", 1, longestWindow, Presence::Required));
    reader.finish();
}

} // namespace

std::optional<GatewaySettings> readGatewaySettings(std::string_view text, Findings &findings)
{
    const std::size_t before = findings.size();
    const std::optional<json> document = readJson(text, findings);
    if (!document)
        return std::nullopt;
    ObjectReader reader(*document, "$", findings);
    GatewaySettings settings;
    settings.instance = reader.id<InstanceId>("instance");
    settings.dataCentre = reader.id<DataCentreId>("dataCentre");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.readinessAddress = readAddress(reader, "readinessAddress");
    settings.metricsAddress = readAddress(reader, "metricsAddress");
    settings.registryAddress = readAddress(reader, "registryAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    settings.fleetKey = reader.string("fleetKey", Presence::Required).value_or("");
    if (settings.fleetKey.size() < shortestFleetKey)
        reader.report("fleetKey", "must be a text of at least 8 bytes");
    settings.seeds = readSeeds(reader, findings);
    settings.stopTime =
        inDuration(reader.number("stopSeconds", 0.1, longestStop, Presence::Required));
    settings.heartbeat =
        milliseconds(reader.integer("heartbeatMs", heartbeatRange, Presence::Required).value_or(0));
    settings.descriptors = static_cast<int>(
        reader.integer("descriptors", descriptorRange, Presence::Required).value_or(0));
    settings.memoryMb = static_cast<int>(
        reader.integer("memoryMb", memoryRange, Presence::Optional).value_or(settings.memoryMb));
    settings.processorShare = reader
                                  .number("processorShare", smallestProcessorShare,
                                          largestProcessorShare, Presence::Required)
                                  .value_or(0);
    settings.linkMbps =
        reader.number("linkMbps", smallestLinkMbps, largestLinkMbps, Presence::Optional);
    if (const json *extraLoad = reader.object("extraLoad", Presence::Required))
        readExtraLoad(*extraLoad, reader.pathOf("extraLoad"), settings, findings);
    if (const json *loadControl = reader.object("loadControl", Presence::Optional)) {
        ObjectReader controlReader(*loadControl, reader.pathOf("loadControl"), findings);
        settings.isLoadControlled =
            controlReader.boolean("isEnabled", Presence::Required).value_or(false);
        controlReader.finish();
    }
    reader.finish();
    if (findings.size() != before)
        return std::nullopt;
    return settings;
}

std::optional<GatewaySettings> parseGatewaySettings(std::string_view text, Reason &reason)
{
    Findings findings;
    std::optional<GatewaySettings> settings = readGatewaySettings(text, findings);
    setReason(findings, reason);
    return settings;
}

} // namespace oleander
