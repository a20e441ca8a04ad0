#include <oleander/decisions/control/Backoff.h>
#include <oleander/decisions/control/PeerChoice.h>
#include <oleander/decisions/control/Readiness.h>

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace oleander;

namespace {

constexpr TimePoint laterTime = TimePoint(seconds(10));

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
        if (readerRole(section, list, evidence, instance.id, {}).isReader)
            readers.push_back(instance);
    }
    return readers;
}

/// Number of daemons that a change at the first one reaches when each daemon informs its
/// neighbours.
std::size_t countReachedFromFirst(const InstanceList &list, const NeighbourRules &rules)
{
    std::map<InstanceId, Instance> waiting{{list.instances[0].id, list.instances[0]}};
    std::set<InstanceId> reached;
    while (!waiting.empty()) {
        const Instance current = waiting.extract(waiting.begin()).mapped();
        reached.insert(current.id);
        for (const Instance &peer : gossipNeighbours(list, {}, current, rules)) {
            if (!reached.contains(peer.id))
                waiting.emplace(peer.id, peer);
        }
    }
    return reached.size();
}

} // namespace

TEST(PeerChoice, ReaderCountDoesNotGrowWithTheFleet)
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

TEST(PeerChoice, StandbyReplacesAnUnreachableReader)
{
    const InstanceList list = listOf(40, 4);
    const Instance unreachable = readersOf("config", list, {}).front();
    PeerEvidence evidence;
    noteUnreachable(evidence, unreachable.id, laterTime);
    int substitutes = 0;
    for (const Instance &instance : list.instances) {
        const auto role = readerRole("config", list, evidence, instance.id, {});
        substitutes += role.isSubstitute ? 1 : 0;
        if (role.isSubstitute) {
            EXPECT_EQ(role.ahead.front(), unreachable.id);
        }
    }
    EXPECT_EQ(substitutes, 1);
    EXPECT_TRUE(expireEvidence(evidence, laterTime));
    EXPECT_EQ(readersOf("config", list, evidence).front().id, unreachable.id);
}

TEST(PeerChoice, NeighboursConnectTheFleetAcrossDataCentres)
{
    for (const int count : {3, 14, 90, 400})
        EXPECT_EQ(countReachedFromFirst(listOf(count, 7), {}), static_cast<std::size_t>(count));
    EXPECT_EQ(countReachedFromFirst(listOf(200, 1), {1, 0}), 200U) << "connected by the ring only";
    const InstanceList list = listOf(90, 3);
    for (const Instance &self : list.instances) {
        std::set<DataCentreId> dataCentres;
        for (const Instance &peer : gossipNeighbours(list, {}, self, {}))
            dataCentres.insert(peer.dataCentre);
        EXPECT_EQ(dataCentres.size(), 3U);
    }
}

TEST(Evidence, AnswerClearsUnreachableButNotLeaving)
{
    PeerEvidence evidence;
    const InstanceId id("i1");
    noteUnreachable(evidence, id, laterTime);
    noteAnswered(evidence, id);
    EXPECT_EQ(evidenceOf(evidence, id), Evidence::None);
    noteLeaving(evidence, id, laterTime);
    noteAnswered(evidence, id);
    noteUnreachable(evidence, id, laterTime);
    EXPECT_EQ(evidenceOf(evidence, id), Evidence::Leaving);
    EXPECT_TRUE(withLeavingMarked(listOf(2, 1), evidence).instances[1].isLeaving);
}

TEST(Readiness, RequiresBaseSectionsAndAnAnswerFromPeerOrPlatform)
{
    const ReadinessRules rules;
    ReadinessFacts facts;
    EXPECT_NE(notReadyReason(facts, rules), "");
    facts.hasBaseSections = true;
    facts.hasPeerAnswered = true;
    EXPECT_NE(notReadyReason(facts, rules), "") << "the platform was not asked";
    facts.sinceStart = rules.platformWait;
    EXPECT_EQ(notReadyReason(facts, rules), "");
    facts.isFetching = true;
    EXPECT_NE(notReadyReason(facts, rules), "");
    facts.isFetching = false;
    facts.missingPartitions = 1;
    EXPECT_NE(notReadyReason(facts, rules), "");
    facts.sinceBaseSections = rules.partitionWait;
    EXPECT_EQ(notReadyReason(facts, rules), "");
    facts.hasPeerAnswered = false;
    facts.hasPlatformReadEnded = true;
    EXPECT_NE(notReadyReason(facts, rules), "") << "asked, but nobody answered";
    facts.wasReady = true;
    EXPECT_EQ(notReadyReason(facts, rules), "");
    facts.isAskingPeers = true;
    EXPECT_NE(notReadyReason(facts, rules), "");
}

TEST(Backoff, DelayGrowsToItsLimitWithJitter)
{
    const BackoffRules rules;
    EXPECT_EQ(backoffDelay(1, rules, 0), rules.first);
    EXPECT_EQ(backoffDelay(3, rules, 0), 4 * rules.first);
    EXPECT_EQ(backoffDelay(1000, rules, 0), rules.longest);
    for (std::uint64_t random = 1; random < 50; ++random) {
        const Duration delay = backoffDelay(9, rules, random * 987654321987ULL);
        EXPECT_GE(delay, rules.longest / 2);
        EXPECT_LE(delay, rules.longest);
    }
}
