#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/decisions/control/EvidenceTable.h>

#include <string>
#include <vector>

namespace oleander {

/// Who reads which section from the platform, and who exchanges views with whom.
///
/// Both are computed by each daemon for itself from the list of instances and its own evidence, by
/// rendezvous hashing, without messages. Where daemons disagree, a section has a reader more than
/// needed or is read in other data centres only; both are harmless.
using PeerEvidence = EvidenceTable<InstanceId>;

/// How many daemons read a section from the platform.
struct ReaderRules
{
    /// Readers of a section in the whole fleet, at least; and at least one in each data centre.
    int minimumReaders = 3;
    /// Places behind the readers in each data centre that stand by to take over.
    int standbys = 2;
};

/// How many peers a daemon exchanges views with on its own account.
struct NeighbourRules
{
    /// In its own data centre, at least one of which is the next in the data centre's ring.
    int local = 3;
    /// In other data centres, each in another one; fewer when there are fewer data centres.
    int remote = 2;
};

/// What one daemon has to do for one section.
struct ReaderDuty
{
    bool isReader = false;
    /// It would not be reader, were it not for evidence against others.
    bool isSubstitute = false;
    /// Readers and standbys before this one in its data centre. Exchanging views with them is how
    /// it notices that they are gone.
    std::vector<InstanceId> ahead;
};

/// Whether the list has a live instance that this daemon may use.
bool isUsable(const Instance &instance, const PeerEvidence &evidence);

/// The duty of `self` for a section. An instance that is not in the list, or leaves, has none.
ReaderDuty readerDuty(const std::string &section, const InstanceList &list,
                      const PeerEvidence &evidence, const InstanceId &self,
                      const ReaderRules &rules);

/// The peers that `self` exchanges views with, without those against whom there is evidence.
///
/// The ring of each data centre keeps it connected; the others are picked by rendezvous, which
/// makes a random graph of low diameter, of which one replacement moves a few links only.
std::vector<Instance> gossipNeighbours(const InstanceList &list, const PeerEvidence &evidence,
                                       const Instance &self, const NeighbourRules &rules);

/// The list with those marked as leaving that said so themselves.
InstanceList withLeavingMarked(const InstanceList &list, const PeerEvidence &evidence);

} // namespace oleander
