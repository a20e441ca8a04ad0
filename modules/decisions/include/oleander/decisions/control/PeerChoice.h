#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/decisions/control/EvidenceTable.h>

#include <string>
#include <vector>

namespace oleander {

/// Evidence about peers, which determines the readers of a section and the gossip neighbours.
///
/// Each daemon computes both by rendezvous hashing from the list of instances and its own evidence,
/// without communication. When daemons disagree, a section has one reader too many, or is read in
/// other data centres only; both are harmless.
using PeerEvidence = EvidenceTable<InstanceId>;

/// Number of daemons that read a section from the platform.
struct ReaderRules
{
    /// Minimum number of readers of a section in the whole fleet. Each data centre has at least
    /// one.
    int minimumReaders = 3;
    /// Number of daemons per data centre that are ready to replace a reader.
    int standbys = 2;
};

/// Number of peers with which a daemon initiates view exchanges.
struct NeighbourRules
{
    /// Peers in its own data centre, including the successor in the ring of the data centre.
    int local = 3;
    /// Peers in other data centres, at most one per data centre.
    int remote = 2;
};

/// The role of one daemon for one section.
struct ReaderRole
{
    bool isReader = false;
    /// True when the daemon is a reader only because there is evidence against higher-ranked
    /// instances.
    bool isSubstitute = false;
    /// Readers and standbys of its data centre that rank higher. A daemon exchanges views with them
    /// to detect their failure.
    std::vector<InstanceId> ahead;
};

/// Whether an instance is not leaving and there is no evidence against it.
bool isUsable(const Instance &instance, const PeerEvidence &evidence);

/// The role of `self` for a section. An instance that is leaving or not in the list has none.
ReaderRole readerRole(const std::string &section, const InstanceList &list,
                      const PeerEvidence &evidence, const InstanceId &self,
                      const ReaderRules &rules);

/// The peers with which `self` initiates view exchanges; peers with evidence against them are
/// excluded.
///
/// A ring connects the instances of each data centre. The other neighbours are chosen by rendezvous
/// hashing: they form a random graph of low diameter, in which the replacement of an instance
/// changes only a few links.
std::vector<Instance> gossipNeighbours(const InstanceList &list, const PeerEvidence &evidence,
                                       const Instance &self, const NeighbourRules &rules);

/// A copy of the list in which instances that announced that they are leaving are marked so.
InstanceList withLeavingMarked(const InstanceList &list, const PeerEvidence &evidence);

} // namespace oleander
