#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Reason.h>
#include <oleander/core/Units.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleander {

/// What a daemon says of itself on `GET /status` of its operator address.
struct DaemonStatus
{
    InstanceId instance;
    DataCentreId dataCentre;
    /// Whether it takes queries, and why not.
    bool isReady = false;
    std::string notReadyReason;
    bool isStopping = false;

    /// Version of the configuration in force; none before the first.
    SectionVersion configuration;
    /// Time since the configuration was last confirmed; nothing before the first.
    std::optional<Duration> configurationAge;
    /// The newest published configuration that this daemon refused, and why.
    std::string refusedConfiguration;

    std::vector<ServiceId> coordinated;
    /// Open connections to backend servers.
    int connections = 0;
    std::uint64_t activeQueries = 0;
    std::uint64_t waitingSubRequests = 0;
    /// Queries refused since the start.
    std::uint64_t refusals = 0;
    /// Queries suspected of crashing servers, now.
    int suspicions = 0;

    bool operator==(const DaemonStatus &) const = default;
};

/// Reads the JSON object of the page. Members that are not known are passed over, so that tool and
/// daemon may be of different releases.
std::optional<DaemonStatus> parseDaemonStatus(std::string_view text, Reason &reason);

} // namespace oleander
