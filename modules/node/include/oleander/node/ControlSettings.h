#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/decisions/control/Backoff.h>
#include <oleander/decisions/control/PeerChoice.h>
#include <oleander/decisions/control/Readiness.h>

#include <cstddef>
#include <vector>

namespace oleander {

/// How a daemon reads from the platform.
struct PlatformRules
{
    ReaderRules readers;
    BackoffRules backoff;
    /// How long one watch waits for a change.
    Duration watchWait = seconds(30);
    /// Calls for one section start at least this far apart.
    Duration minimumGap = milliseconds(200);
    /// Wait of a watch for a section that is read in place of others.
    Duration substituteWait = seconds(2);
    /// Sections that all daemons together may read in place of others at a time. It bounds the
    /// calls when no daemon reaches any other.
    int substituteBudget = 400;
    /// The first calls of a starting daemon are spread over this long.
    Duration startSpread = milliseconds(500);
};

/// How a daemon exchanges views with its peers.
struct GossipRules
{
    NeighbourRules neighbours;
    /// One comparison with one neighbour each period.
    Duration period = seconds(1);
    /// Peers compare digests first and spell out what they hold only when the digests differ.
    bool comparesDigests = true;
    Duration compareTimeout = seconds(1);
    Duration pullTimeout = seconds(2);
    /// Section texts in one message, in bytes.
    std::size_t maximumMessageBytes = 4194304;
    /// How long a failed call counts against a peer.
    Duration unreachableMemory = seconds(10);
    /// How long a peer's own word that it is leaving counts.
    Duration leavingMemory = seconds(60);
    /// How long a crash notice is passed on.
    Duration crashMemory = seconds(60);
};

/// What one ControlNode has to know about itself and its fleet.
struct ControlSettings
{
    /// This daemon: id, data centre and the address that peers use.
    Instance self;
    /// A configuration for another fleet is refused. Empty accepts any.
    FleetId fleet;
    /// Peers to ask while no list of instances is known. May be empty.
    std::vector<Instance> seeds;
    PlatformRules platform;
    GossipRules gossip;
    ReadinessRules confirm;
};

} // namespace oleander
