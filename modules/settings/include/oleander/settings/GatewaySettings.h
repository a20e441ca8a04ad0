#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>
#include <oleander/settings/Address.h>
#include <oleander/settings/Finding.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleander {

/// What one instance of the gateway learns from its own settings file. Routes and servers come from
/// the platform's registry.
struct GatewaySettings
{
    InstanceId instance;
    DataCentreId dataCentre;
    Address callerAddress;
    Address readinessAddress;
    /// Counters and histograms, for operators.
    Address metricsAddress;
    Address registryAddress;
    /// TCP for calls between instances; UDP, by which they learn of each other.
    Address peerAddress;
    /// Instances with another key are refused.
    std::string fleetKey;
    /// Instances that are asked first; their ports do not matter.
    std::vector<Address> seeds;
    /// Time between a stop signal and the end that is forced.
    Duration stopTime = seconds(6);
    /// Period in which servers renew their registration.
    Duration heartbeat = seconds(1);
    /// Descriptors that the process may have open.
    int descriptors = 1024;
    /// Memory that the process may use, in MB. The default holds for settings files of earlier
    /// releases: the quarter of it that requests may hold fits beside the process itself on the
    /// smallest machines, which have 112 MB.
    int memoryMb = 256;
    /// Share of a processor that the process may use, in cores. Instances with a large share
    /// coordinate gathered requests for the others.
    double processorShare = 1;
    /// Bandwidth of the machine's link in Mbit/s, if it is known.
    std::optional<double> linkMbps;
    /// Extra sendings that all instances together may make of each service, as a share of its
    /// requests and in number, in a window.
    double extraShare = 0.2;
    double extraAllowance = 0;
    Duration extraWindow = seconds(10);
    /// Whether requests of lower priorities wait here while servers are busy, and requests that
    /// would be late are refused.
    bool isLoadControlled = false;

    bool operator==(const GatewaySettings &) const = default;
};

/// Reads a gateway's settings file, JSON. Keys: `instance`, `dataCentre`, `callerAddress`,
/// `readinessAddress`, `metricsAddress`, `registryAddress`, `peerAddress`, `fleetKey`, `seeds`,
/// `stopSeconds`, `heartbeatMs`, `descriptors`, `processorShare`, `extraLoad` with `share`,
/// `allowance` and `windowSeconds`, and three that may be left out: `linkMbps`, `memoryMb` and
/// `loadControl` with `isEnabled`. Every fault is reported with its path.
std::optional<GatewaySettings> readGatewaySettings(std::string_view text, Findings &findings);

/// The same, with the first fault.
std::optional<GatewaySettings> parseGatewaySettings(std::string_view text, Reason &reason);

} // namespace oleander
