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
    /// Maximum time that one watch call waits for a change.
    Duration watchWait = seconds(30);
    /// Minimum time between the starts of two calls for the same section.
    Duration minimumGap = milliseconds(200);
    /// Maximum wait of a watch call for a section that this daemon reads as a substitute for
    /// unreachable readers.
    Duration substituteWait = seconds(2);
    /// Number of sections that all daemons together may read as substitutes at a time. Limits the
    /// calls to the platform when no daemon can reach any other.
    int substituteBudget = 400;
    /// The first platform reads of a starting daemon are delayed by a random time up to this value.
    Duration maximumStartDelay = milliseconds(500);
};

/// How a daemon exchanges sections with its peers.
struct GossipRules
{
    NeighbourRules neighbours;
    /// In each period, the daemon compares its sections with those of one peer.
    Duration period = seconds(1);
    /// Peers compare digests first and list their section versions only if the digests differ.
    bool comparesDigests = true;
    Duration compareTimeout = seconds(1);
    Duration pullTimeout = seconds(2);
    /// Maximum total size of the section texts in one message, in bytes.
    std::size_t maximumMessageBytes = 4194304;
    /// How long a peer is considered unreachable after a failed call.
    Duration unreachableMemory = seconds(10);
    /// How long a peer is considered to be leaving after it said so.
    Duration leavingMemory = seconds(60);
    /// Maximum age at which a crash notice is still passed on.
    Duration crashMemory = seconds(60);
};

/// Settings of a ControlNode.
struct ControlSettings
{
    /// This daemon: its id, its data centre and the address that peers use.
    Instance self;
    /// A configuration for another fleet is refused. If empty, any fleet is accepted.
    FleetId fleet;
    /// Peers to contact while no list of instances is known. May be empty.
    std::vector<Instance> seeds;
    PlatformRules platform;
    GossipRules gossip;
    ReadinessRules confirm;
};

} // namespace oleander
