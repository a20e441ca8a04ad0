#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/control/PeerChoice.h>

#include <algorithm>
#include <set>

namespace oleander {

namespace {

struct ScoredPeer
{
    std::uint64_t score;
    const Instance *instance;
};

bool ranksBefore(const ScoredPeer &left, const ScoredPeer &right)
{
    return left.score != right.score ? left.score > right.score
                                     : left.instance->id < right.instance->id;
}

int readersInEachDataCentre(const InstanceList &list, int minimumReaders)
{
    std::set<std::string_view> dataCentres;
    for (const Instance &instance : list.instances) {
        if (!instance.isLeaving)
            dataCentres.insert(instance.dataCentre.text());
    }
    const int count = std::max(1, static_cast<int>(dataCentres.size()));
    return (minimumReaders + count - 1) / count;
}

/// The instances of the data centre of `self` that are not leaving and rank higher for a key, in
/// descending order.
std::vector<ScoredPeer> peersAhead(const std::string &key, const InstanceList &list,
                                   const Instance &self)
{
    const ScoredPeer own{rendezvousScore(key, self.id.text()), &self};
    std::vector<ScoredPeer> ahead;
    for (const Instance &instance : list.instances) {
        if (instance.isLeaving || instance.dataCentre != self.dataCentre)
            continue;
        const ScoredPeer other{rendezvousScore(key, instance.id.text()), &instance};
        if (ranksBefore(other, own))
            ahead.push_back(other);
    }
    std::ranges::sort(ahead, ranksBefore);
    return ahead;
}

/// Usable peers within or outside the data centre of `self`, in descending order of their
/// rendezvous score.
std::vector<ScoredPeer> usablePeers(const InstanceList &list, const PeerEvidence &evidence,
                                    const Instance &self, bool isLocal)
{
    std::vector<ScoredPeer> peers;
    for (const Instance &instance : list.instances) {
        if (instance.id == self.id || (instance.dataCentre == self.dataCentre) != isLocal)
            continue;
        if (isUsable(instance, evidence))
            peers.push_back({rendezvousScore(self.id.text(), instance.id.text()), &instance});
    }
    std::ranges::sort(peers, ranksBefore);
    return peers;
}

std::uint64_t ringPosition(const InstanceId &id)
{
    return rendezvousScore("ring", id.text());
}

/// The peer that follows `self` in the ring of the data centre, or null if there are no peers.
const Instance *ringSuccessor(const std::vector<ScoredPeer> &peers, const Instance &self)
{
    const std::uint64_t own = ringPosition(self.id);
    const Instance *successor = nullptr;
    std::uint64_t shortest = 0;
    for (const ScoredPeer &peer : peers) {
        const std::uint64_t distance = ringPosition(peer.instance->id) - own;
        if (!successor || distance < shortest) {
            successor = peer.instance;
            shortest = distance;
        }
    }
    return successor;
}

void addLocalNeighbours(std::vector<Instance> &chosen, const std::vector<ScoredPeer> &peers,
                        const Instance &self, int count)
{
    const Instance *successor = ringSuccessor(peers, self);
    if (!successor || count < 1)
        return;
    chosen.push_back(*successor);
    for (const ScoredPeer &peer : peers) {
        if (static_cast<int>(chosen.size()) >= count)
            return;
        if (peer.instance != successor)
            chosen.push_back(*peer.instance);
    }
}

void addRemoteNeighbours(std::vector<Instance> &chosen, const std::vector<ScoredPeer> &peers,
                         int count)
{
    std::set<std::string_view> taken;
    for (const ScoredPeer &peer : peers) {
        if (count == 0)
            return;
        if (!taken.insert(peer.instance->dataCentre.text()).second)
            continue;
        chosen.push_back(*peer.instance);
        --count;
    }
}

} // namespace

bool isUsable(const Instance &instance, const PeerEvidence &evidence)
{
    return !instance.isLeaving && evidenceOf(evidence, instance.id) == Evidence::None;
}

ReaderRole readerRole(const std::string &section, const InstanceList &list,
                      const PeerEvidence &evidence, const InstanceId &self,
                      const ReaderRules &rules)
{
    ReaderRole role;
    const Instance *own = findInstance(list, self);
    if (!own || own->isLeaving)
        return role;
    const auto ahead = peersAhead(section, list, *own);
    const auto usable = std::ranges::count_if(ahead, [&](const ScoredPeer &peer) {
        return evidenceOf(evidence, peer.instance->id) == Evidence::None;
    });
    const int readers = readersInEachDataCentre(list, rules.minimumReaders);
    role.isReader = usable < readers;
    role.isSubstitute = role.isReader && std::ssize(ahead) >= readers;
    if (std::ssize(ahead) < readers + rules.standbys) {
        for (const ScoredPeer &peer : ahead)
            role.ahead.push_back(peer.instance->id);
    }
    return role;
}

std::vector<Instance> gossipNeighbours(const InstanceList &list, const PeerEvidence &evidence,
                                       const Instance &self, const NeighbourRules &rules)
{
    std::vector<Instance> chosen;
    addLocalNeighbours(chosen, usablePeers(list, evidence, self, true), self, rules.local);
    addRemoteNeighbours(chosen, usablePeers(list, evidence, self, false), rules.remote);
    return chosen;
}

InstanceList withLeavingMarked(const InstanceList &list, const PeerEvidence &evidence)
{
    InstanceList marked = list;
    for (Instance &instance : marked.instances) {
        if (evidenceOf(evidence, instance.id) == Evidence::Leaving)
            instance.isLeaving = true;
    }
    return marked;
}

} // namespace oleander
