#pragma once

#include <oleander/core/Units.h>

#include <string>

namespace oleander {

/// Parameters of the readiness check.
struct ReadinessRules
{
    /// Number of peers asked for newer sections before a daemon is ready, and again after its
    /// process was paused.
    int peersAsked = 3;
    /// How long a starting daemon waits for the platform when a peer has answered.
    Duration platformWait = seconds(3);
    /// How long a starting daemon waits for missing partition maps once it has the base sections.
    Duration partitionWait = seconds(3);
    /// Timer lateness above which the process is assumed to have been paused. Calls that failed
    /// during the pause are not counted as evidence against peers, and peers are asked again.
    Duration timerLatenessLimit = milliseconds(500);
};

/// The inputs of the readiness check.
struct ReadinessFacts
{
    bool isStopping = false;
    /// Whether the daemon has the base sections: configuration, instance list and service names.
    bool hasBaseSections = false;
    int missingPartitions = 0;
    /// Whether a call to one of the asked peers is still in progress.
    bool isAskingPeers = false;
    /// Whether a newer section that a peer announced is being fetched.
    bool isFetching = false;
    /// Whether all initial reads from the platform have ended, with or without success.
    bool hasPlatformReadEnded = false;
    bool hasPlatformAnswered = false;
    /// Whether a peer that has sections itself has answered.
    bool hasPeerAnswered = false;
    /// Whether the daemon was ready before.
    bool wasReady = false;
    Duration sinceStart{};
    /// Time since the base sections were complete.
    Duration sinceBaseSections{};
};

/// Human-readable reason why the daemon does not accept queries; empty when it does.
///
/// A starting daemon asks peers and the platform for sections and uses the highest versions. It is
/// ready when both were asked and at least one of them answered. When neither has the sections, as
/// in a cold start of the whole fleet while the platform is down, it is not ready. A daemon that
/// has been ready stays ready without the platform, but asks peers again after its process was
/// paused.
std::string notReadyReason(const ReadinessFacts &facts, const ReadinessRules &rules);

} // namespace oleander
