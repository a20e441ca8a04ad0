#include <oleander/decisions/control/CoordinatorChoice.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace oleander;

namespace {

constexpr int coordinatorCount = 4;

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

ServiceId numberedService(int number)
{
    return ServiceId("service-" + std::to_string(number));
}

int changedAssignments(const InstanceList &before, const InstanceList &after, int services)
{
    int moved = 0;
    for (int number = 0; number < services; ++number) {
        const auto previous = coordinatorsFor(numberedService(number), before, coordinatorCount);
        for (const InstanceId &id :
             coordinatorsFor(numberedService(number), after, coordinatorCount)) {
            if (std::ranges::find(previous, id) == previous.end())
                ++moved;
        }
    }
    return moved;
}

} // namespace

TEST(CoordinatorChoice, UsesEveryDataCentreBeforeRepeatingOne)
{
    const InstanceList list = listOf(30, 3);
    for (int number = 0; number < 50; ++number) {
        std::map<DataCentreId, int> countByDataCentre;
        for (const InstanceId &id : coordinatorsFor(numberedService(number), list, 4)) {
            for (const Instance &instance : list.instances) {
                if (instance.id == id)
                    ++countByDataCentre[instance.dataCentre];
            }
        }
        EXPECT_EQ(countByDataCentre.size(), 3U);
        for (const auto &[dataCentre, count] : countByDataCentre)
            EXPECT_LE(count, 2) << dataCentre;
    }
}

TEST(CoordinatorChoice, RemovingAnInstanceChangesOnlyItsShareOfAssignments)
{
    const int services = 500;
    const InstanceList before = listOf(40, 4);
    InstanceList after = before;
    after.instances.erase(after.instances.begin() + 7);
    const int share = services * coordinatorCount / 40;
    EXPECT_GT(changedAssignments(before, after, services), share / 2);
    EXPECT_LT(changedAssignments(before, after, services), share * 2);
}

TEST(CoordinatorChoice, LeavingInstancesAreNotChosenButStillAcceptQueries)
{
    InstanceList list = listOf(12, 3);
    const ServiceId service = numberedService(1);
    const InstanceId first = coordinatorsFor(service, list, 3).front();
    for (Instance &instance : list.instances)
        instance.isLeaving = instance.id == first;
    const auto chosen = coordinatorsFor(service, list, 3);
    EXPECT_EQ(std::ranges::find(chosen, first), chosen.end());
    EXPECT_TRUE(isCoordinator(service, list, 3, first));
}

TEST(CoordinatorChoice, FewUnchosenInstancesAcceptQueries)
{
    const InstanceList list = listOf(200, 7);
    for (int number = 0; number < 20; ++number) {
        int serving = 0;
        for (const Instance &instance : list.instances)
            serving += isCoordinator(numberedService(number), list, 3, instance.id) ? 1 : 0;
        EXPECT_GE(serving, 3 + 1);
        EXPECT_LE(serving, 2 * 3 + 1);
        EXPECT_FALSE(isCoordinator(numberedService(number), list, 3, InstanceId("unlisted")));
    }
}

TEST(CoordinatorChoice, AcceptsQueriesWhenListsDifferByOneInstance)
{
    for (const int dataCentres : {1, 3, 5, 7}) {
        const InstanceList larger = listOf(30, dataCentres);
        for (std::size_t removed = 0; removed < larger.instances.size(); ++removed) {
            InstanceList smaller = larger;
            smaller.instances.erase(smaller.instances.begin()
                                    + static_cast<std::ptrdiff_t>(removed));
            const ServiceId service = numberedService(static_cast<int>(removed) % 4);
            for (const InstanceId &id : coordinatorsFor(service, smaller, coordinatorCount))
                EXPECT_TRUE(isCoordinator(service, larger, coordinatorCount, id)) << id;
            for (const InstanceId &id : coordinatorsFor(service, larger, coordinatorCount)) {
                if (id != larger.instances[removed].id) {
                    EXPECT_TRUE(isCoordinator(service, smaller, coordinatorCount, id)) << id;
                }
            }
        }
    }
}

TEST(CoordinatorChoice, OrderDependsOnKeyAndIsStableUnderRemoval)
{
    auto coordinators = coordinatorsFor(numberedService(2), listOf(30, 3), 5);
    for (std::uint64_t key = 1; key < 200; ++key) {
        const auto order = coordinatorOrder(coordinators, key);
        std::ranges::reverse(coordinators);
        EXPECT_EQ(order, coordinatorOrder(coordinators, key));
        auto fewer = coordinators;
        std::erase(fewer, order[1]);
        auto expected = order;
        expected.erase(expected.begin() + 1);
        EXPECT_EQ(coordinatorOrder(fewer, key), expected);
    }
}

TEST(CoordinatorChoice, KeysAreDistributedEvenly)
{
    const auto coordinators = coordinatorsFor(numberedService(2), listOf(30, 3), 4);
    std::map<InstanceId, int> queryCounts;
    const int keys = 4000;
    for (std::uint64_t key = 1; key <= keys; ++key)
        ++queryCounts[coordinatorOrder(coordinators, key).front()];
    for (const auto &[id, count] : queryCounts) {
        EXPECT_GT(count, keys / 4 * 8 / 10) << id;
        EXPECT_LT(count, keys / 4 * 12 / 10) << id;
    }
}

TEST(CoordinatorChoice, FewerInstancesThanRequestedCoordinators)
{
    EXPECT_EQ(coordinatorsFor(numberedService(1), listOf(2, 2), 4).size(), 2U);
    EXPECT_TRUE(coordinatorsFor(numberedService(1), InstanceList{}, 4).empty());
}
