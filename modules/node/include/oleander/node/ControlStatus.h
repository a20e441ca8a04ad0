#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Section.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// What a ControlNode did since it began.
struct ControlCounters
{
    std::uint64_t platformCalls = 0;
    std::uint64_t platformFailures = 0;
    std::uint64_t peerCalls = 0;
    std::uint64_t peerFailures = 0;
    std::uint64_t peerRequests = 0;
    /// Section texts received from the platform and from peers, in bytes.
    std::uint64_t bytesFromPlatform = 0;
    std::uint64_t bytesFromPeers = 0;
    /// Section texts sent to peers, in bytes.
    std::uint64_t bytesToPeers = 0;
    std::uint64_t sectionsAccepted = 0;
    std::uint64_t sectionsRefused = 0;
    /// Stale values that the platform offered.
    std::uint64_t sectionsOld = 0;
    /// Sections that arrived though they were held already.
    std::uint64_t sectionsRepeated = 0;
    std::uint64_t lateTimers = 0;
};

/// One section that is held or was refused, for the operators' page.
struct SectionStatus
{
    /// The version in force; none when only refused values were seen.
    SectionSummary summary;
    /// Since it came into force on this daemon.
    Duration age{};
    /// Set when a newer value was refused.
    std::optional<SectionVersion> refusedVersion;
    std::string refusedReason;
};

/// A snapshot of what the control plane of one daemon knows, for the operators' page.
struct ControlStatus
{
    bool isReady = false;
    /// Why it is not ready; empty when it is.
    std::string notReadyReason;
    bool isStopping = false;
    std::vector<SectionStatus> sections;
    /// Whether the platform answered this daemon's last call; true before the first.
    bool isPlatformReachable = true;
    /// Since the platform last answered any daemon that this one has heard of, directly or through
    /// others. Nothing when it never did.
    std::optional<Duration> platformAge;
    /// Sections that this daemon reads from the platform.
    std::vector<std::string> readerOf;
    std::vector<InstanceId> neighbours;
    std::vector<InstanceId> unreachable;
    std::vector<InstanceId> leaving;
    ControlCounters counters;
};

} // namespace oleander
