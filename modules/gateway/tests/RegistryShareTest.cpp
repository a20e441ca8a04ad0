#include "support/SimulatedFleet.h"

#include <gtest/gtest.h>

#include <random>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

/// The shortest deadline that the platform sets for a change to be known to all instances.
constexpr Duration changeDeadline = seconds(3);

std::vector<RegistryItem> makeItems(std::initializer_list<const char *> keys)
{
    std::vector<RegistryItem> result;
    for (const char *key : keys)
        result.push_back({key, "value", false});
    return result;
}

RegistryPosition at(std::uint64_t revision, std::uint64_t epoch = 0)
{
    return {epoch, revision};
}

/// Compares the values up to the renewal count after '#', which is not part of the state.
bool haveSameState(const RegistryItem &stored, const RegistryItem &offered)
{
    return stored.value.substr(0, stored.value.find('#'))
           == offered.value.substr(0, offered.value.find('#'));
}

TEST(RegistryCopy, ReturnsChangesAndRemovalsSinceARevision)
{
    RegistryCopy copy;
    EXPECT_FALSE(copy.since(at(0)));
    copy.replaceAll(makeItems({"a", "b"}), at(10), haveSameState);
    copy.note({"a", "new", false}, at(12));
    copy.note({"b", {}, true}, at(14));
    const auto changes = copy.since(at(11));
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->size(), 2U);
    EXPECT_TRUE(copy.since(at(14))->empty());
    EXPECT_EQ(copy.items().size(), 1U);
}

TEST(RegistryCopy, ReturnsNoChangesFromBeforeTheFirstRead)
{
    RegistryCopy copy;
    copy.replaceAll(makeItems({"a"}), at(10), haveSameState);
    EXPECT_FALSE(copy.since(at(9)));
    EXPECT_TRUE(copy.since(at(10)));
}

TEST(RegistryCopy, FullReadDetectsRemovals)
{
    RegistryCopy copy;
    copy.replaceAll(makeItems({"a", "b"}), at(10), haveSameState);
    copy.replaceAll(makeItems({"a"}), at(20), haveSameState);
    const auto changes = copy.since(at(10));
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_TRUE(changes->front().isRemoved);
    EXPECT_TRUE(copy.since(at(20))->empty());
    EXPECT_FALSE(copy.since(at(15))) << "an item may have been added and removed in between";
}

// Guards against a burst of messages: a reader that had to read the whole registry again reported
// each registration that had only been renewed as a change.
TEST(RegistryCopy, FullReadReportsNoRenewals)
{
    RegistryCopy copy;
    copy.replaceAll({{"a", "ready#1", false}, {"b", "ready#1", false}}, at(10), haveSameState);
    copy.replaceAll({{"a", "ready#2", false}, {"b", "leaving#2", false}}, at(20), haveSameState);
    const auto changes = copy.since(at(10));
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_EQ(changes->front().key, "b");
}

TEST(RegistryCopy, DropsHistoryBeyondTheLimit)
{
    RegistryCopy copy;
    copy.replaceAll({}, at(1), haveSameState);
    for (std::size_t number = 0; number <= RegistryCopy::maximumTombstones; ++number)
        copy.note({"k" + std::to_string(number), {}, true}, at(2 + number));
    EXPECT_FALSE(copy.since(at(2)));
    EXPECT_TRUE(copy.since(copy.position()));
}

// Guards against changes that are never told because the registry gives their revisions out again.
TEST(RegistryCopy, ContentOfANewEpochIsChangedThroughout)
{
    RegistryCopy copy;
    copy.replaceAll(makeItems({"a", "b"}), at(20, 1), haveSameState);
    copy.replaceAll(makeItems({"a"}), at(10, 2), haveSameState);
    EXPECT_EQ(copy.position(), at(10, 2));
    EXPECT_FALSE(copy.since(at(20, 1))) << "the whole content has to be read";
    copy.note({"c", "value", false}, at(11, 2));
    const auto changes = copy.since(at(10, 2));
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_EQ(changes->front().key, "c");
}

// Guards against "no changes" from a reader that has not noticed yet that the registry was
// restored.
TEST(RegistryCopy, KnowsNoHistoryOfALaterEpoch)
{
    RegistryCopy copy;
    copy.replaceAll(makeItems({"a"}), at(20, 1), haveSameState);
    EXPECT_FALSE(copy.since(at(10, 2)));
}

struct RegistryShareTest : ::testing::Test
{
    RegistryShareTest()
    {
        fleet.registry.put("server", "first");
        fleet.startBeacons();
        for (const auto &instance : fleet.instances)
            instance->follower.start();
        fleet.scheduler.runFor(seconds(5));
    }

    [[nodiscard]] bool allInstancesKnow(const std::string &value) const
    {
        return std::ranges::all_of(fleet.instances, [&](const auto &instance) {
            const auto found = instance->knownValues.find("server");
            return found != instance->knownValues.end() && found->second == value;
        });
    }

    SimulatedFleet fleet{20, 3};
};

TEST_F(RegistryShareTest, OnlyReadersCallTheRegistryWithoutFailures)
{
    const auto before = fleet.registry.calls;
    for (const auto &instance : fleet.instances)
        instance->directCalls = 0;
    for (int second = 0; second < 30; ++second) {
        fleet.registry.put("renewal", std::to_string(second));
        fleet.scheduler.runFor(seconds(1));
    }
    for (std::size_t index = fleet.readers; index < fleet.instances.size(); ++index)
        EXPECT_EQ(fleet.instances[index]->directCalls, 0U);
    // Three readers make 75 calls at a period of 1.2 s. If all 20 instances read the registry
    // directly, at a period of 1.6 s, they would make 375.
    EXPECT_LE(fleet.registry.calls - before, 80U);
    EXPECT_TRUE(allInstancesKnow("first"));
}

TEST_F(RegistryShareTest, ChangeIsKnownInTimeWhenReadersHangShortlyBefore)
{
    for (int step = 0; step < 16; ++step) {
        fleet.instances[0]->isHung = true;
        fleet.instances[1]->isHung = true;
        fleet.scheduler.runFor(milliseconds(100 * step));
        const std::string value = "step " + std::to_string(step);
        fleet.registry.put("server", value);
        fleet.scheduler.runFor(changeDeadline);
        for (std::size_t index = 2; index < fleet.instances.size(); ++index)
            EXPECT_EQ(fleet.instances[index]->knownValues["server"], value) << index;
        fleet.instances[0]->isHung = false;
        fleet.instances[1]->isHung = false;
        fleet.scheduler.runFor(seconds(8));
    }
}

TEST_F(RegistryShareTest, InstancesReadDirectlyWhenReadersLoseTheRegistry)
{
    for (std::size_t index = 0; index < fleet.readers; ++index)
        fleet.instances[index]->isDisconnected = true;
    fleet.scheduler.runFor(seconds(1));
    fleet.registry.put("server", "second");
    fleet.scheduler.runFor(changeDeadline);
    for (std::size_t index = fleet.readers; index < fleet.instances.size(); ++index)
        EXPECT_EQ(fleet.instances[index]->knownValues["server"], "second") << index;
}

TEST_F(RegistryShareTest, InstanceWithoutRegistryAccessGetsChangesFromAReader)
{
    fleet.instances[9]->isDisconnected = true;
    fleet.registry.put("server", "second");
    fleet.scheduler.runFor(changeDeadline);
    EXPECT_EQ(fleet.instances[9]->knownValues["server"], "second");
}

TEST_F(RegistryShareTest, NewProcessAcceptsOldContentWhenTheRegistryIsDown)
{
    fleet.registry.isDown = true;
    fleet.scheduler.runFor(seconds(6));
    fleet.restart(7);
    fleet.restart(0);
    fleet.scheduler.runFor(seconds(8));
    EXPECT_EQ(fleet.instances[7]->knownValues["server"], "first");
    EXPECT_EQ(fleet.instances[0]->knownValues["server"], "first");
    fleet.registry.isDown = false;
    fleet.registry.put("server", "second");
    fleet.scheduler.runFor(changeDeadline + seconds(3));
    EXPECT_TRUE(allInstancesKnow("second"));
}

TEST_F(RegistryShareTest, InstancesReadDirectlyWhenAllReadersHang)
{
    for (const auto &instance : fleet.instances)
        instance->log.events.clear();
    for (std::size_t index = 0; index < fleet.readers; ++index)
        fleet.instances[index]->isHung = true;
    fleet.scheduler.runFor(seconds(20));
    fleet.registry.remove("server");
    fleet.scheduler.runFor(changeDeadline);
    for (std::size_t index = fleet.readers; index < fleet.instances.size(); ++index)
        EXPECT_TRUE(fleet.instances[index]->knownValues.empty()) << index;
    // A reader whose beacons have stopped is not called again, so each reader causes one failed
    // call.
    for (std::size_t index = fleet.readers; index < fleet.instances.size(); ++index)
        EXPECT_LE(fleet.instances[index]->log.count(EventId::RegistryReaderFailed), fleet.readers);
}

// Guards against instances that keep asking for changes after a position of the lost history.
TEST_F(RegistryShareTest, ChangeAfterARestoreIsKnownInTimeByAllInstances)
{
    for (int round = 0; round < 4; ++round) {
        fleet.registry.backUp();
        for (int change = 0; change < 10 * round; ++change) {
            fleet.registry.put("renewal", std::to_string(change));
            fleet.scheduler.runFor(milliseconds(200));
        }
        fleet.registry.isDown = round % 2 == 1;
        fleet.scheduler.runFor(milliseconds(700));
        fleet.registry.isDown = false;
        fleet.registry.restore();
        // With these the new history may pass the old position before an instance asks again.
        for (int change = 0; change < 7 * round; ++change)
            fleet.registry.put("renewal", std::to_string(change));
        fleet.scheduler.runFor(seconds(4));
        const std::string value = "round " + std::to_string(round);
        fleet.registry.put("server", value);
        fleet.scheduler.runFor(changeDeadline);
        EXPECT_TRUE(allInstancesKnow(value)) << round;
    }
}

/// A registry and a peer that answer immediately with the configured content.
struct SharedRegistryReaderTest : ::testing::Test, RegistryReader, PeerNetwork
{
    // RegistryReader
    void list(const std::string &, const std::string &, Callback done) override
    {
        ++directCalls;
        RegistryAnswer answer;
        answer.position = at(registryRevision, registryEpoch);
        done(answer);
    }
    void watch(const std::string &prefix, RegistryPosition, Duration, Callback done) override
    {
        list(prefix, {}, std::move(done));
    }
    // PeerNetwork
    PeerCallId call(const Instance &, PeerRequest, Duration, PeerCallback callback) override
    {
        callback({PeerCallStatus::Replied, news});
        return PeerCallId(1);
    }
    void cancel(PeerCallId) override {}
    void setHandler(PeerHandler *) override {}
    void beginStop() override {}

    std::uint64_t listRevision()
    {
        std::uint64_t revision = 0;
        reader.list({}, {},
                    [&](const RegistryAnswer &answer) { revision = answer.position.revision; });
        return revision;
    }

    VirtualScheduler scheduler;
    oleander::testing::VirtualTimer timer{scheduler};
    TestLog log;
    RegistryChanges news;
    std::uint64_t registryRevision = 10;
    std::uint64_t registryEpoch = 0;
    std::size_t directCalls = 0;
    SharedRegistryReader reader{
        {InstanceId("self"), DataCentreId("here"), false}, *this, *this, timer, log};
};

TEST_F(SharedRegistryReaderTest, OlderContentFromAReaderIsNotAccepted)
{
    EXPECT_EQ(listRevision(), 10U);
    reader.onReaderBeacon({InstanceId("reader"), DataCentreId("here"), {}, {}});
    news.position.revision = 9;
    EXPECT_EQ(listRevision(), 10U);
    EXPECT_EQ(directCalls, 2U);
}

TEST_F(SharedRegistryReaderTest, NewerContentFromAReaderAvoidsACallToTheRegistry)
{
    EXPECT_EQ(listRevision(), 10U);
    reader.onReaderBeacon({InstanceId("reader"), DataCentreId("here"), {}, {}});
    news.position.revision = 11;
    EXPECT_EQ(listRevision(), 11U);
    EXPECT_EQ(directCalls, 1U);
}

// Guards against content of the lost history from a reader that has not noticed the restore.
TEST_F(SharedRegistryReaderTest, ContentOfAnEarlierEpochIsNotAccepted)
{
    registryEpoch = 2;
    EXPECT_EQ(listRevision(), 10U);
    reader.onReaderBeacon({InstanceId("reader"), DataCentreId("here"), {}, {}});
    news.position = at(99, 1);
    EXPECT_EQ(listRevision(), 10U);
    scheduler.runFor(SharedRegistryReader::failedReaderPause);
    reader.onReaderBeacon({InstanceId("reader"), DataCentreId("here"), {}, {}});
    RegistryPosition watched;
    reader.watch({}, at(10, 2), {},
                 [&](const RegistryAnswer &answer) { watched = answer.position; });
    EXPECT_EQ(watched, at(10, 2));
    EXPECT_EQ(directCalls, 3U);
}

/// Instances hang, lose access to the registry and restart at random, and the registry becomes
/// unavailable or is restored from an older copy. An instance that could reach the registry all the
/// time knows each change within the deadline, and no instance returns to an older value.
void expectChangesInTimeUnderFaults(std::uint64_t seed, bool mayBeRestored)
{
    std::mt19937_64 random(seed);
    const auto randomBelow = [&](std::size_t limit) { return random() % limit; };
    SimulatedFleet fleet(2 + randomBelow(12), 1 + randomBelow(3));
    fleet.readers = std::min(fleet.readers, fleet.instances.size());
    int version = 0;
    fleet.registry.put("server", "0");
    fleet.startBeacons();
    for (const auto &instance : fleet.instances)
        instance->follower.start();
    std::vector<int> newestKnown(fleet.instances.size(), 0);
    std::vector<TimePoint> connectedSince(fleet.instances.size());
    std::map<int, TimePoint> writeTimes{{0, fleet.scheduler.now()}};
    for (int step = 0; step < 400; ++step) {
        const std::size_t index = randomBelow(fleet.instances.size());
        SimulatedInstance &instance = *fleet.instances[index];
        switch (randomBelow(40)) {
        case 0:
            instance.isHung = !instance.isHung;
            break;
        case 1:
            instance.isDisconnected = !instance.isDisconnected;
            break;
        case 2:
            fleet.registry.isDown = !fleet.registry.isDown;
            break;
        case 3:
            fleet.restart(index);
            newestKnown[index] = 0;
            connectedSince[index] = fleet.scheduler.now();
            break;
        case 4:
        case 5:
            if (!fleet.registry.isDown) {
                fleet.registry.put("server", std::to_string(++version));
                writeTimes[version] = fleet.scheduler.now();
            }
            break;
        case 6:
            fleet.registry.compact();
            break;
        case 7:
            if (mayBeRestored)
                fleet.registry.backUp();
            break;
        case 8:
            if (mayBeRestored) {
                // The operator writes again what was lost.
                fleet.registry.restore();
                fleet.registry.put("server", std::to_string(version));
            }
            break;
        default:
            break;
        }
        fleet.scheduler.runFor(milliseconds(static_cast<int>(10 + randomBelow(400))));
        const TimePoint now = fleet.scheduler.now();
        for (std::size_t observedIndex = 0; observedIndex < fleet.instances.size();
             ++observedIndex) {
            SimulatedInstance &observed = *fleet.instances[observedIndex];
            if (observed.isHung || observed.isDisconnected || fleet.registry.isDown)
                connectedSince[observedIndex] = now;
            const auto found = observed.knownValues.find("server");
            const int knownVersion =
                found == observed.knownValues.end() ? 0 : std::stoi(found->second);
            ASSERT_GE(knownVersion, newestKnown[observedIndex])
                << "seed " << seed << " instance " << observedIndex;
            newestKnown[observedIndex] = knownVersion;
            // Time of a failed call and of the pause after it, before the next call to the
            // registry.
            constexpr Duration recoveryTime = milliseconds(3500);
            int requiredVersion = 0;
            for (const auto &[number, when] : writeTimes) {
                if (now - when > changeDeadline
                    && now - connectedSince[observedIndex] > changeDeadline + recoveryTime)
                    requiredVersion = number;
            }
            ASSERT_GE(knownVersion, requiredVersion)
                << "seed " << seed << " step " << step << " instance " << observedIndex;
        }
    }
}

TEST(RegistryShareProperty, ChangesAreKnownInTimeAndValuesNeverRevert)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
        expectChangesInTimeUnderFaults(seed, false);
}

// Guards against instances that compare positions of two histories while others are cut off or
// hang.
TEST(RegistryShareProperty, ChangesAreKnownInTimeWhenTheRegistryIsRestored)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        expectChangesInTimeUnderFaults(seed, true);
}

} // namespace
