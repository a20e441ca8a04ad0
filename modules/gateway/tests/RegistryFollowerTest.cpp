#include "support/TestGateway.h"

#include <oleander/gateway/RegistryFollower.h>

#include <gtest/gtest.h>

#include <deque>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

/// Answers each call after a millisecond with the next of the configured answers.
class ScriptedRegistry final : public RegistryReader
{
public:
    explicit ScriptedRegistry(VirtualScheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }

    void list(const std::string &, const std::string &afterKey, Callback done) override
    {
        calls.push_back("list " + afterKey);
        answer(std::move(done));
    }
    void watch(const std::string &, RegistryPosition position, Duration, Callback done) override
    {
        calls.push_back("watch " + std::to_string(position.revision));
        answer(std::move(done));
    }

    std::deque<RegistryAnswer> answers;
    std::vector<std::string> calls;

private:
    void answer(Callback done)
    {
        if (answers.empty())
            return;
        RegistryAnswer next = answers.front();
        answers.pop_front();
        m_scheduler.schedule(m_scheduler.now() + milliseconds(1),
                             [done = std::move(done), next] { done(next); });
    }

    VirtualScheduler &m_scheduler;
};

struct RegistryFollowerTest : ::testing::Test, RegistryListener
{
    void onItems(const std::vector<RegistryItem> &newItems, const ListedSpan &newSpan) override
    {
        items = newItems;
        span = newSpan;
    }
    void onChanges(const std::vector<RegistryItem> &newItems, RegistryPosition) override
    {
        changes.insert(changes.end(), newItems.begin(), newItems.end());
    }
    void onReconnected(Duration) override { ++recoveries; }

    static RegistryAnswer page(std::vector<std::string> keys, std::uint64_t revision,
                               bool isTruncated = false)
    {
        RegistryAnswer answer;
        for (std::string &key : keys)
            answer.items.push_back({std::move(key), "value", false});
        answer.position.revision = revision;
        answer.isTruncated = isTruncated;
        return answer;
    }

    static RegistryAnswer ofEpoch(std::uint64_t epoch, RegistryAnswer answer)
    {
        answer.position.epoch = epoch;
        return answer;
    }

    static RegistryAnswer failure(RegistryError error)
    {
        RegistryAnswer answer;
        answer.error = error;
        return answer;
    }

    VirtualScheduler scheduler;
    VirtualTimer timer{scheduler};
    TestRandom random{1};
    TestLog log;
    ScriptedRegistry registry{scheduler};
    RegistryFollower follower{"p/", {}, registry, *this, timer, random, log};
    std::vector<RegistryItem> items;
    ListedSpan span;
    std::vector<RegistryItem> changes;
    int recoveries = 0;
};

TEST_F(RegistryFollowerTest, WatchStartsAtTheRevisionOfTheFirstPage)
{
    registry.answers = {page({"p/a", "p/b"}, 7, true), page({"p/c"}, 9), page({"p/a"}, 10)};
    follower.start();
    scheduler.runFor(seconds(3));
    ASSERT_GE(registry.calls.size(), 3U);
    EXPECT_EQ(registry.calls[0], "list ");
    EXPECT_EQ(registry.calls[1], "list p/b");
    EXPECT_EQ(registry.calls[2], "watch 7");
    EXPECT_EQ(items.size(), 3U);
    EXPECT_EQ(span.first.revision, 7U);
    EXPECT_EQ(span.last.revision, 9U);
    EXPECT_EQ(changes.size(), 1U);
}

// Guards against watches that fail, and whose next answer is larger still, until the registry drops
// its history.
TEST_F(RegistryFollowerTest, ReadsAllItemsAtOnceWhenTheChangesAreTooLarge)
{
    registry.answers = {page({"p/a"}, 7), failure(RegistryError::TooLarge), page({"p/b"}, 20),
                        page({"p/c"}, 21)};
    follower.start();
    scheduler.runFor(milliseconds(100));
    const std::vector<std::string> expected{"list ", "watch 7", "list ", "watch 20"};
    ASSERT_GE(registry.calls.size(), expected.size());
    EXPECT_TRUE(std::equal(expected.begin(), expected.end(), registry.calls.begin()));
    EXPECT_EQ(items.front().key, "p/b");
    EXPECT_EQ(changes.front().key, "p/c");
    EXPECT_EQ(log.count(EventId::RegistryAnswerTooLarge), 1U);
    EXPECT_EQ(recoveries, 0) << "the registry was not away";
}

TEST_F(RegistryFollowerTest, ReadsAllItemsAgainWhenTheHistoryIsGone)
{
    registry.answers = {page({"p/a"}, 7), failure(RegistryError::HistoryGone), page({"p/b"}, 20)};
    follower.start();
    scheduler.runFor(seconds(5));
    ASSERT_GE(registry.calls.size(), 4U);
    EXPECT_EQ(registry.calls[2], "list ");
    EXPECT_EQ(registry.calls[3], "watch 20");
    EXPECT_EQ(items.front().key, "p/b");
}

// Guards against changes that are missed because the registry was restored between two calls.
TEST_F(RegistryFollowerTest, ReadsAllItemsAgainWhenTheRegistryWasRestored)
{
    registry.answers = {page({"p/a"}, 7), ofEpoch(1, page({"p/x"}, 9)),
                        ofEpoch(1, page({"p/b"}, 9, true)), ofEpoch(2, page({"p/c"}, 5)),
                        ofEpoch(2, page({"p/d"}, 5))};
    follower.start();
    scheduler.runFor(seconds(3));
    const std::vector<std::string> expected{"list ",    "watch 7", "list ",
                                            "list p/b", "list ",   "watch 5"};
    EXPECT_EQ(registry.calls, expected);
    EXPECT_TRUE(changes.empty()) << "the watch told some of the changes only";
    ASSERT_EQ(items.size(), 1U);
    EXPECT_EQ(items.front().key, "p/d");
    EXPECT_EQ(log.count(EventId::RegistryRestored), 1U);
}

TEST_F(RegistryFollowerTest, RepeatedFullReadsAreRateLimited)
{
    for (int round = 0; round < 100; ++round) {
        registry.answers.push_back(page({"p/a"}, 7));
        registry.answers.push_back(failure(RegistryError::HistoryGone));
    }
    follower.start();
    scheduler.runFor(seconds(8));
    // Eight seconds have five periods of 1.6 s, with one list call and one watch call each.
    EXPECT_LE(registry.calls.size(), 12U);
}

TEST_F(RegistryFollowerTest, AgeIsUnknownBeforeAllPagesAreRead)
{
    // The second page never arrives, so the listener has not received any items.
    registry.answers = {page({"p/a"}, 7, true)};
    follower.start();
    scheduler.runFor(seconds(1));
    EXPECT_FALSE(follower.age());
}

TEST_F(RegistryFollowerTest, FullBatchesDoNotResetTheAge)
{
    const FollowerTiming pace;
    std::vector<std::string> batch;
    for (std::size_t number = 0; number < pace.fullBatchSize; ++number)
        batch.push_back("p/" + std::to_string(number));
    registry.answers = {page({"p/a"}, 7)};
    for (std::uint64_t revision = 8; revision < 3000; ++revision)
        registry.answers.push_back(page(batch, revision));
    follower.start();
    scheduler.runFor(seconds(2));
    ASSERT_TRUE(follower.age());
    EXPECT_GE(*follower.age(), milliseconds(1990));
}

TEST_F(RegistryFollowerTest, ReportsRecoveryAfterFailures)
{
    registry.answers = {page({"p/a"}, 7), failure(RegistryError::Unreachable),
                        failure(RegistryError::Refused), page({}, 8)};
    follower.start();
    scheduler.runFor(seconds(10));
    EXPECT_EQ(recoveries, 1);
    EXPECT_EQ(log.count(EventId::PlatformUnreachable), 1U);
    EXPECT_EQ(log.count(EventId::PlatformReachable), 1U);
}

// Guards against a growing delay: with 800 changes per second and a few hundred in each answer, a
// rate-limited follower fell further behind with each call and delivered outdated configurations.
TEST_F(RegistryFollowerTest, FullBatchIsFollowedImmediatelyByAnotherWatch)
{
    std::vector<std::string> keys(FollowerTiming{}.fullBatchSize, "p/a");
    registry.answers = {page({"p/a"}, 1), page(keys, 2), page(keys, 3), page({"p/a"}, 4)};
    follower.start();
    scheduler.runFor(milliseconds(20));
    ASSERT_GE(registry.calls.size(), 4U);
    EXPECT_EQ(registry.calls[3], "watch 3");
}

TEST_F(RegistryFollowerTest, FrequentChangesAreReadInBatches)
{
    registry.answers.push_back(page({"p/a"}, 1));
    for (std::uint64_t revision = 2; revision < 100; ++revision)
        registry.answers.push_back(page({"p/a"}, revision));
    follower.start();
    scheduler.runFor(seconds(16));
    EXPECT_LE(registry.calls.size(), 12U);
    EXPECT_GE(registry.calls.size(), 10U);
}

} // namespace
