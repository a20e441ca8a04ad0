#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>

#include <optional>
#include <span>

namespace oleander {

// Slow start: a server that has just started, or has been idle, is cold for a time and crashes
// under its usual load. A service may limit the requests that a cold server of its gets from all
// instances together. The instances divide this allowance without asking each other.

/// What a service declares of its cold servers.
struct ColdStartRules
{
    /// Time that a server stays cold after its start.
    Duration warmUp{};
    /// Requests per second that a cold server accepts; without a limit if zero.
    double perSecond = 0;

    [[nodiscard]] bool hasLimit() const { return perSecond > 0; }
    bool operator==(const ColdStartRules &) const = default;
};

/// Requests that a cold server may get in any second.
[[nodiscard]] double coldStartBound(double perSecond);

/// The part of the accepted rate that the instances use together.
[[nodiscard]] double coldStartRate(double perSecond);

/// What this instance knows of those that may send to cold servers.
struct ColdStartFleet
{
    InstanceId self;
    /// Number of instances; nothing if it is not known, and many are assumed.
    std::optional<int> instances;
    /// Instances of which all others know. Some of them send to a server when not all can.
    std::span<const InstanceId> candidates;
};

/// This instance's part in the allowance of one cold server.
struct ColdStartShare
{
    /// Number by which the rate is divided; zero if this instance must send nothing.
    int senders = 0;
    /// Time between two questions of this instance whether the server is cold.
    Duration probePeriod{};
};

/// Divides the allowance of the server: among all instances if each can have a saved request
/// without exceeding the bound, or else among the candidates that rank first for the server. All
/// instances with the same candidates choose the same senders.
[[nodiscard]] ColdStartShare coldStartShare(const ColdStartRules &rules,
                                            const ColdStartFleet &fleet, const ServerId &server);

/// Part of its usual requests, from 0 to 1, that a server gets this long after its cold time. Rises
/// in steps.
[[nodiscard]] double shareAfterColdStart(Duration sinceEnd);

} // namespace oleander
