#include <oleander/decisions/control/Backoff.h>
#include <oleander/decisions/control/PeerChoice.h>
#include <oleander/decisions/control/Readiness.h>

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace oleander;

namespace {

constexpr TimePoint later = TimePoint(seconds(10));

InstanceList listOf(int count, int dataCentres)
{
    InstanceList list;
    for (int index = 0; index < count; ++index) {
        Instance instance;
        instance.id = InstanceId("i" + std::to_string(index));
        instance.dataCentre = DataCentreId("dc" + std::to_string(index % dataCentres));
        list.instances.push_back(instance);
    }
    return list;
}

std::vector<Instance> readersOf(const std::string &section, const InstanceList &list,
                                const PeerEvidence &evidence)
{
    std::vector<Instance> readers;
    for (const Instance &instance : list.instances) {
        if (readerDuty(section, list, evidence, instance.id, {}).isReader)
            readers.push_back(instance);
    }
    return readers;
}

/// Number of daemons that a change at the first one reaches when each daemon informs its
/// neighbours.
std::size_t reachedFromFirst(const InstanceList &list, const NeighbourRules &rules)
{
    std::map<InstanceId, Instance> waiting{{list.instances[0].id, list.instances[0]}};
    std::set<InstanceId> reached;
    while (!waiting.empty()) {
        const Instance next = waiting.extract(waiting.begin()).mapped();
        reached.insert(next.id);
        for (const Instance &peer : gossipNeighbours(list, {}, next, rules)) {
            if (!reached.contains(peer.id))
                waiting.emplace(peer.id, peer);
        }
    }
    return reached.size();
}

} // namespace

TEST(PeerChoice, ReadersAreFewAndInEachDataCentreWhateverTheSize)
{
    for (const int count : {20, 100, 500}) {
        const auto readers = readersOf("config", listOf(count, 5), {});
        EXPECT_EQ(readers.size(), 5U);
        std::set<DataCentreId> dataCentres;
        for (const Instance &reader : readers)
            dataCentres.insert(reader.dataCentre);
        EXPECT_EQ(dataCentres.size(), 5U);
    }
    EXPECT_EQ(readersOf("config", listOf(20, 1), {}).size(), 3U);
}

TEST(PeerChoice, EvidenceMovesReadingToAStandbyThatWatchesTheReader)
{
    const InstanceList list = listOf(40, 4);
    const Instance gone = readersOf("config", list, {}).front();
    PeerEvidence evidence;
    noteUnreachable(evidence, gone.id, later);
    int substitutes = 0;
    for (const Instance &instance : list.instances) {
        const auto duty = readerDuty("config", list, evidence, instance.id, {});
        substitutes += duty.isSubstitute ? 1 : 0;
        if (duty.isSubstitute) {
            EXPECT_EQ(duty.ahead.front(), gone.id);
        }
    }
    EXPECT_EQ(substitutes, 1);
    EXPECT_TRUE(expireEvidence(evidence, later));
    EXPECT_EQ(readersOf("config", list, evidence).front().id, gone.id);
}

TEST(PeerChoice, NeighboursConnectTheFleetAndCrossDataCentres)
{
    for (const int count : {3, 14, 90, 400})
        EXPECT_EQ(reachedFromFirst(listOf(count, 7), {}), static_cast<std::size_t>(count));
    EXPECT_EQ(reachedFromFirst(listOf(200, 1), {1, 0}), 200U) << "the ring alone";
    const InstanceList list = listOf(90, 3);
    for (const Instance &self : list.instances) {
        std::set<DataCentreId> dataCentres;
        for (const Instance &peer : gossipNeighbours(list, {}, self, {}))
            dataCentres.insert(peer.dataCentre);
        EXPECT_EQ(dataCentres.size(), 3U);
    }
}

TEST(Evidence, AnAnswerTakesBackUnreachableButNotLeaving)
{
    PeerEvidence evidence;
    const InstanceId id("i1");
    noteUnreachable(evidence, id, later);
    noteAnswered(evidence, id);
    EXPECT_EQ(evidenceOf(evidence, id), Evidence::None);
    noteLeaving(evidence, id, later);
    noteAnswered(evidence, id);
    noteUnreachable(evidence, id, later);
    EXPECT_EQ(evidenceOf(evidence, id), Evidence::Leaving);
    EXPECT_TRUE(withLeavingMarked(listOf(2, 1), evidence).instances[1].isLeaving);
}

TEST(Readiness, NeedsABaseAPeerRoundAndSomebodysConfirmation)
{
    const ConfirmRules rules;
    ReadinessFacts facts;
    EXPECT_NE(notReadyReason(facts, rules), "");
    facts.hasBase = true;
    facts.hasPeerAnswered = true;
    EXPECT_NE(notReadyReason(facts, rules), "") << "the platform was not asked";
    facts.sinceStart = rules.platformPatience;
    EXPECT_EQ(notReadyReason(facts, rules), "");
    facts.isFetching = true;
    EXPECT_NE(notReadyReason(facts, rules), "");
    facts.isFetching = false;
    facts.missingPartitions = 1;
    EXPECT_NE(notReadyReason(facts, rules), "");
    facts.sinceBase = rules.partitionPatience;
    EXPECT_EQ(notReadyReason(facts, rules), "");
    facts.hasPeerAnswered = false;
    facts.isPlatformAsked = true;
    EXPECT_NE(notReadyReason(facts, rules), "") << "asked, but nobody answered";
    facts.wasReady = true;
    EXPECT_EQ(notReadyReason(facts, rules), "");
    facts.isAskingPeers = true;
    EXPECT_NE(notReadyReason(facts, rules), "");
}

TEST(Backoff, GrowsToItsLimitWithJitter)
{
    const BackoffRules rules;
    EXPECT_EQ(backoffDelay(1, rules, 0), rules.first);
    EXPECT_EQ(backoffDelay(3, rules, 0), 4 * rules.first);
    EXPECT_EQ(backoffDelay(1000, rules, 0), rules.most);
    for (std::uint64_t random = 1; random < 50; ++random) {
        const Duration delay = backoffDelay(9, rules, random * 987654321987ULL);
        EXPECT_GE(delay, rules.most / 2);
        EXPECT_LE(delay, rules.most);
    }
}
