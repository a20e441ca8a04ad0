#pragma once

#include <oleander/core/Ids.h>
#include <oleander/settings/Finding.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleander {

/// What one daemon learns from its own settings file: who it is, where it listens and where the
/// platform is. Everything else is published and equal for the fleet.
struct DaemonSettings
{
    InstanceId instance;
    FleetId fleet;
    DataCentreId dataCentre;
    /// IP number and port for callers.
    std::string callerAddress;
    /// IP number and port for other daemons.
    std::string peerAddress;
    /// IP number and port of the operators' pages; never shown to callers.
    std::string operatorAddress;
    /// IP numbers and ports of the configuration service, tried in order.
    std::vector<std::string> platformAddresses;
    int workerThreads = 1;
    /// Shared by all daemons of the fleet; a peer without it is refused.
    std::string peerKey;

    bool operator==(const DaemonSettings &) const = default;
};

/// Reads a daemon's settings file:
/// `{"instance", "fleet", "dataCentre", "callerAddress", "peerAddress", "operatorAddress",
/// "platformAddresses": [..], "workerThreads", "peerKey"}`. All but workerThreads are required.
std::optional<DaemonSettings> parseDaemonSettings(std::string_view text, Reason &reason);

/// The same, with every fault instead of the first.
std::optional<DaemonSettings> readDaemonSettings(std::string_view text, Findings &findings);

} // namespace oleander
