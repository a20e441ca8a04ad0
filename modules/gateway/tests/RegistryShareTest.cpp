#include "support/SharingFleet.h"

#include <gtest/gtest.h>

#include <random>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

/// What the platform grants until a change must be known, at its strictest.
constexpr Duration grantedTime = seconds(3);

std::vector<RegistryItem> items(std::initializer_list<const char *> keys)
{
    std::vector<RegistryItem> result;
    for (const char *key : keys)
        result.push_back({key, "value", false});
    return result;
}

/// Items whose values begin alike say the same.
bool isSame(const RegistryItem &held, const RegistryItem &given)
{
    return held.value.substr(0, held.value.find('#'))
           == given.value.substr(0, given.value.find('#'));
}

TEST(RegistryCopy, TellsChangesAndRemovalsSinceARevision)
{
    RegistryCopy copy;
    EXPECT_FALSE(copy.since(0));
    copy.replaceAll(items({"a", "b"}), 10, isSame);
    copy.note({"a", "new", false}, 12);
    copy.note({"b", {}, true}, 14);
    const auto changes = copy.since(11);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->size(), 2U);
    EXPECT_TRUE(copy.since(14)->empty());
    EXPECT_EQ(copy.items().size(), 1U);
}

TEST(RegistryCopy, DoesNotClaimToKnowWhatWasRemovedBeforeItBegan)
{
    RegistryCopy copy;
    copy.replaceAll(items({"a"}), 10, isSame);
    EXPECT_FALSE(copy.since(9));
    EXPECT_TRUE(copy.since(10));
}

TEST(RegistryCopy, ReadingAnewFindsWhatIsGone)
{
    RegistryCopy copy;
    copy.replaceAll(items({"a", "b"}), 10, isSame);
    copy.replaceAll(items({"a"}), 20, isSame);
    const auto changes = copy.since(15);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_TRUE(changes->front().isRemoved);
}

// A reader that had to read the registry anew told everybody of each renewal since, at once.
TEST(RegistryCopy, ReadingAnewTellsOfNoRenewals)
{
    RegistryCopy copy;
    copy.replaceAll({{"a", "ready#1", false}, {"b", "ready#1", false}}, 10, isSame);
    copy.replaceAll({{"a", "ready#2", false}, {"b", "leaving#2", false}}, 20, isSame);
    const auto changes = copy.since(10);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_EQ(changes->front().key, "b");
}

TEST(RegistryCopy, ForgetsHistoryRatherThanGrowWithoutBound)
{
    RegistryCopy copy;
    copy.replaceAll({}, 1, isSame);
    for (std::size_t number = 0; number <= RegistryCopy::maximumTombstones; ++number)
        copy.note({"k" + std::to_string(number), {}, true}, 2 + number);
    EXPECT_FALSE(copy.since(2));
    EXPECT_TRUE(copy.since(copy.revision()));
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

    [[nodiscard]] bool allBelieve(const std::string &value) const
    {
        return std::ranges::all_of(fleet.instances, [&](const auto &instance) {
            const auto found = instance->believed.find("server");
            return found != instance->believed.end() && found->second == value;
        });
    }

    SharingFleet fleet{20, 3};
};

TEST_F(RegistryShareTest, OnlyReadersAskTheRegistryOnACalmDay)
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
    // Three readers at 1.2 s are 75 calls; 20 instances that read themselves at 1.6 s make 375.
    EXPECT_LE(fleet.registry.calls - before, 80U);
    EXPECT_TRUE(allBelieve("first"));
}

TEST_F(RegistryShareTest, ChangeIsKnownInTimeWhenAReaderHangsJustBefore)
{
    for (int step = 0; step < 16; ++step) {
        fleet.instances[0]->isHung = true;
        fleet.instances[1]->isHung = true;
        fleet.scheduler.runFor(milliseconds(100 * step));
        const std::string value = "step " + std::to_string(step);
        fleet.registry.put("server", value);
        fleet.scheduler.runFor(grantedTime);
        for (std::size_t index = 2; index < fleet.instances.size(); ++index)
            EXPECT_EQ(fleet.instances[index]->believed["server"], value) << index;
        fleet.instances[0]->isHung = false;
        fleet.instances[1]->isHung = false;
        fleet.scheduler.runFor(seconds(8));
    }
}

TEST_F(RegistryShareTest, ReaderThatIsCutOffFromTheRegistrySaysHowOldItsNewsAre)
{
    for (std::size_t index = 0; index < fleet.readers; ++index)
        fleet.instances[index]->isCutOff = true;
    fleet.scheduler.runFor(seconds(1));
    fleet.registry.put("server", "second");
    fleet.scheduler.runFor(grantedTime);
    for (std::size_t index = fleet.readers; index < fleet.instances.size(); ++index)
        EXPECT_EQ(fleet.instances[index]->believed["server"], "second") << index;
}

TEST_F(RegistryShareTest, InstanceThatIsCutOffFromTheRegistryLearnsFromAReader)
{
    fleet.instances[9]->isCutOff = true;
    fleet.registry.put("server", "second");
    fleet.scheduler.runFor(grantedTime);
    EXPECT_EQ(fleet.instances[9]->believed["server"], "second");
}

TEST_F(RegistryShareTest, NewProcessTakesOldNewsWhenTheRegistryIsDown)
{
    fleet.registry.isDown = true;
    fleet.scheduler.runFor(seconds(6));
    fleet.restart(7);
    fleet.restart(0);
    fleet.scheduler.runFor(seconds(8));
    EXPECT_EQ(fleet.instances[7]->believed["server"], "first");
    EXPECT_EQ(fleet.instances[0]->believed["server"], "first");
    fleet.registry.isDown = false;
    fleet.registry.put("server", "second");
    fleet.scheduler.runFor(grantedTime + seconds(3));
    EXPECT_TRUE(allBelieve("second"));
}

TEST_F(RegistryShareTest, LosingAllReadersForGoodLeavesTheRegistryItself)
{
    for (const auto &instance : fleet.instances)
        instance->log.events.clear();
    for (std::size_t index = 0; index < fleet.readers; ++index)
        fleet.instances[index]->isHung = true;
    fleet.scheduler.runFor(seconds(20));
    fleet.registry.remove("server");
    fleet.scheduler.runFor(grantedTime);
    for (std::size_t index = fleet.readers; index < fleet.instances.size(); ++index)
        EXPECT_TRUE(fleet.instances[index]->believed.empty()) << index;
    // A reader that is not heard of is not asked again: each costs one wait.
    for (std::size_t index = fleet.readers; index < fleet.instances.size(); ++index)
        EXPECT_LE(fleet.instances[index]->log.count(EventId::RegistryReaderFailed), fleet.readers);
}

/// A registry and a reader that answer at once, with what was set.
struct SharedRegistryReaderTest : ::testing::Test, RegistryReader, PeerNetwork
{
    // RegistryReader
    void list(const std::string &, const std::string &, Callback done) override
    {
        ++directCalls;
        RegistryAnswer answer;
        answer.revision = registryRevision;
        done(answer);
    }
    void watch(const std::string &prefix, RegistryRevision, Duration, Callback done) override
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

    RegistryRevision listed()
    {
        RegistryRevision revision = 0;
        reader.list({}, {}, [&](const RegistryAnswer &answer) { revision = answer.revision; });
        return revision;
    }

    VirtualScheduler scheduler;
    oleander::testing::VirtualTimer timer{scheduler};
    TestLog log;
    RegistryChanges news;
    RegistryRevision registryRevision = 10;
    std::size_t directCalls = 0;
    SharedRegistryReader reader{
        {InstanceId("self"), DataCentreId("here"), false}, *this, *this, timer, log};
};

TEST_F(SharedRegistryReaderTest, ContentOlderThanWhatWasReadIsNotTaken)
{
    EXPECT_EQ(listed(), 10U);
    reader.onReaderBeacon({InstanceId("reader"), DataCentreId("here"), {}, {}});
    news.revision = 9;
    EXPECT_EQ(listed(), 10U);
    EXPECT_EQ(directCalls, 2U);
}

TEST_F(SharedRegistryReaderTest, ReaderAheadIsTakenAndTheRegistryIsSpared)
{
    EXPECT_EQ(listed(), 10U);
    reader.onReaderBeacon({InstanceId("reader"), DataCentreId("here"), {}, {}});
    news.revision = 11;
    EXPECT_EQ(listed(), 11U);
    EXPECT_EQ(directCalls, 1U);
}

/// Random days: readers and instances hang, are cut off, start anew; the registry goes away.
/// Whoever reached the registry all the while knows each change in the granted time, and nobody
/// goes back to what it had seen to be older.
TEST(RegistryShareProperty, ChangesAreKnownInTimeAndNothingGoesBack)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&](std::size_t limit) { return random() % limit; };
        SharingFleet fleet(2 + below(12), 1 + below(3));
        fleet.readers = std::min(fleet.readers, fleet.instances.size());
        int version = 0;
        fleet.registry.put("server", "0");
        fleet.startBeacons();
        for (const auto &instance : fleet.instances)
            instance->follower.start();
        std::vector<int> known(fleet.instances.size(), 0);
        std::vector<TimePoint> reachedSince(fleet.instances.size());
        std::map<int, TimePoint> written{{0, fleet.scheduler.now()}};
        for (int step = 0; step < 400; ++step) {
            const std::size_t index = below(fleet.instances.size());
            SharingInstance &instance = *fleet.instances[index];
            switch (below(40)) {
            case 0:
                instance.isHung = !instance.isHung;
                break;
            case 1:
                instance.isCutOff = !instance.isCutOff;
                break;
            case 2:
                fleet.registry.isDown = !fleet.registry.isDown;
                break;
            case 3:
                fleet.restart(index);
                known[index] = 0;
                reachedSince[index] = fleet.scheduler.now();
                break;
            case 4:
            case 5:
                if (!fleet.registry.isDown) {
                    fleet.registry.put("server", std::to_string(++version));
                    written[version] = fleet.scheduler.now();
                }
                break;
            case 6:
                fleet.registry.compact();
                break;
            default:
                break;
            }
            fleet.scheduler.runFor(milliseconds(static_cast<int>(10 + below(400))));
            const TimePoint now = fleet.scheduler.now();
            for (std::size_t at = 0; at < fleet.instances.size(); ++at) {
                SharingInstance &observed = *fleet.instances[at];
                if (observed.isHung || observed.isCutOff || fleet.registry.isDown)
                    reachedSince[at] = now;
                const auto found = observed.believed.find("server");
                const int believed =
                    found == observed.believed.end() ? 0 : std::stoi(found->second);
                ASSERT_GE(believed, known[at]) << "seed " << seed << " instance " << at;
                known[at] = believed;
                // A failed call and the pause after it lie before the registry is asked again.
                constexpr Duration returnTime = milliseconds(3500);
                int due = 0;
                for (const auto &[number, when] : written) {
                    if (now - when > grantedTime
                        && now - reachedSince[at] > grantedTime + returnTime)
                        due = number;
                }
                ASSERT_GE(believed, due)
                    << "seed " << seed << " step " << step << " instance " << at;
            }
        }
    }
}

} // namespace
