#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Section.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// Counters of a ControlNode since it was created.
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
    /// Values from the platform whose version was lower than the held one.
    std::uint64_t sectionsOld = 0;
    /// Sections received from peers in a version that was already held.
    std::uint64_t sectionsRepeated = 0;
    std::uint64_t lateTimers = 0;
};

/// State of one section that is held or was refused, for the operators' page.
struct SectionStatus
{
    /// The active version; empty if only refused values were received.
    SectionSummary summary;
    /// Time since this daemon activated the version.
    Duration age{};
    /// Set when a newer value was refused.
    std::optional<SectionVersion> refusedVersion;
    std::string refusedReason;
};

/// State of the control plane of one daemon, for the operators' page.
struct ControlStatus
{
    bool isReady = false;
    /// Why the daemon is not ready; empty if it is ready.
    std::string notReadyReason;
    bool isStopping = false;
    std::vector<SectionStatus> sections;
    /// Whether the platform answered this daemon's last call; true before the first call.
    bool isPlatformReachable = true;
    /// Time since the platform last answered this daemon or, according to peers, any other daemon.
    /// Empty if it never did.
    std::optional<Duration> platformAge;
    /// Sections that this daemon reads from the platform.
    std::vector<std::string> readerOf;
    std::vector<InstanceId> neighbours;
    std::vector<InstanceId> unreachable;
    std::vector<InstanceId> leaving;
    ControlCounters counters;
};

} // namespace oleander
