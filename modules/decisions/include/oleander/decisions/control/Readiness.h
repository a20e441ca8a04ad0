#pragma once

#include <oleander/core/Units.h>

#include <string>

namespace oleander {

/// When a daemon takes what it holds as confirmed.
struct ConfirmRules
{
    /// Peers asked before a daemon is ready, and again after a pause of its process.
    int peersAsked = 3;
    /// A starting daemon waits this long for the platform's answer when peers have answered.
    Duration platformPatience = seconds(3);
    /// A daemon that holds all but some partition maps waits this long for them.
    Duration partitionPatience = seconds(3);
    /// A timer that is later than this says that the process was paused; what failed meanwhile is
    /// not held against peers, and what is held is confirmed anew.
    Duration lateLimit = milliseconds(500);
};

/// What decides whether a daemon may take queries.
struct ReadinessFacts
{
    bool isStopping = false;
    /// Whether configuration, list of instances and service names are held.
    bool hasBase = false;
    int missingPartitions = 0;
    /// Whether peers were asked and at least one has not answered or failed yet.
    bool isAskingPeers = false;
    /// Whether a text that a peer announced is on its way.
    bool isFetching = false;
    /// Whether the platform's first answers, or failures, are in.
    bool isPlatformAsked = false;
    bool hasPlatformAnswered = false;
    /// Whether a peer answered that holds sections itself.
    bool hasPeerAnswered = false;
    /// Whether the daemon was ready before.
    bool wasReady = false;
    Duration sinceStart{};
    /// Since the base was complete.
    Duration sinceBase{};
};

/// Why the daemon may not take queries, for a person; empty when it may.
///
/// A starting daemon asks peers and the platform and takes the highest versions; it is ready when
/// both were asked and at least one of them answered. When neither holds anything, as in a cold
/// start of the whole fleet while the platform is down, it is not ready and says so. A daemon that
/// was ready stays ready without the platform, but asks peers again after a pause of its process.
std::string notReadyReason(const ReadinessFacts &facts, const ConfirmRules &rules);

} // namespace oleander
