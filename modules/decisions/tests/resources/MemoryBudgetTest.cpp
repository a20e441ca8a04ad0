#include <oleander/decisions/resources/MemoryBudget.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

using namespace oleander;

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

/// Guards against limits that refuse a single request of legal size on the smallest machine, or
/// allow it fewer connections than its descriptors do.
TEST(MemoryBudget, SmallestMachineTakesARequestAtTheLimit)
{
    constexpr std::size_t bodyLimit = 262144;
    constexpr std::size_t connectionsByDescriptors = 1335;
    const MemoryLimits limits = divideMemory(112 * megabyte);
    EXPECT_TRUE(mayHold({}, limits, MemoryHolder::UnfinishedRequests, bodyLimit));
    EXPECT_TRUE(mayHold({}, limits, MemoryHolder::RequestsUnderWay, 2 * bodyLimit));
    EXPECT_GE(limits.connections, connectionsByDescriptors);
}

/// Guards against holders that are not given up and by themselves exceed the soft limit: every
/// connection would be closed then.
TEST(MemoryBudget, HoldersThatAreNotGivenUpStayBelowTheSoftLimit)
{
    const MemoryLimits limits = divideMemory(64 * megabyte);
    const auto share = [&limits](MemoryHolder holder) {
        return limits.share[static_cast<std::size_t>(holder)];
    };
    EXPECT_LT(share(MemoryHolder::RequestsUnderWay) + share(MemoryHolder::Pages)
                  + share(MemoryHolder::PeerMessages),
              limits.soft);
}

TEST(MemoryBudget, AbsurdLengthIsNotHeld)
{
    const MemoryLimits limits = divideMemory(64 * megabyte);
    MemoryUse use;
    use.total = 1000;
    EXPECT_FALSE(mayHold(use, limits, MemoryHolder::UnfinishedRequests,
                         std::numeric_limits<std::size_t>::max()));
}

TEST(MemoryBudget, StalledAndLargeConnectionsAreClosedFirst)
{
    const std::vector<HeldConnection> connections{
        {60'000, milliseconds(5), milliseconds(1)},
        {60'000, milliseconds(900), milliseconds(850)},
        {1'000, milliseconds(900), milliseconds(850)},
        {0, seconds(50), seconds(50)},
    };
    EXPECT_EQ(chooseEvicted(connections, 1), std::vector<std::size_t>{1});
    EXPECT_EQ(chooseEvicted(connections, 60'001), (std::vector<std::size_t>{1, 2}));
    // A connection that holds nothing is never closed.
    EXPECT_EQ(chooseEvicted(connections, megabyte).size(), 3U);
}

/// What is chosen frees enough, or is all there is, and no connection is chosen in vain.
RC_GTEST_PROP(MemoryBudget, ChosenConnectionsFreeWhatIsAskedFor, ())
{
    const auto sizes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 70'000));
    const auto bytes = static_cast<std::size_t>(*rc::gen::inRange(1, 400'000));
    std::vector<HeldConnection> connections;
    std::size_t total = 0;
    for (const int size : sizes) {
        connections.push_back({static_cast<std::size_t>(size),
                               milliseconds(*rc::gen::inRange(0, 5000)),
                               milliseconds(*rc::gen::inRange(0, 5000))});
        total += static_cast<std::size_t>(size);
    }
    std::size_t freed = 0;
    std::size_t last = 0;
    for (const std::size_t index : chooseEvicted(connections, bytes)) {
        last = connections[index].bytes;
        freed += last;
    }
    RC_ASSERT(freed >= bytes || freed == total);
    RC_ASSERT(freed == 0 || freed - last < bytes);
}

} // namespace
