#include "concurrency/AsioHeaders.h"

#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/adapters/time/SeededRandom.h>

#include <gtest/gtest.h>

#include <thread>
#include <vector>

using namespace oleander;

namespace {

struct TimerTest : testing::Test
{
    void runFor(Duration time) { context.run_for(time); }

    boost::asio::io_context context;
    AsioTimerService timers{context};
    std::vector<int> calls;
};

} // namespace

TEST_F(TimerTest, FiresInOrderOfDueTimeAndThenOfSetting)
{
    const auto late = timers.callAfter(milliseconds(3), [&](auto &) { calls.push_back(3); });
    const auto first = timers.callAfter(Duration(0), [&](auto &) { calls.push_back(1); });
    const auto second = timers.callAfter(Duration(-5), [&](auto &) { calls.push_back(2); });
    while (calls.size() < 3)
        context.run_one();
    EXPECT_EQ(calls, (std::vector{1, 2, 3}));
}

TEST_F(TimerTest, EndedSubscriptionDoesNotFire)
{
    Subscription second;
    const auto first = timers.callAfter(Duration(0), [&](auto &) {
        calls.push_back(1);
        second.reset();
    });
    second = timers.callAfter(Duration(0), [&](auto &) { calls.push_back(2); });
    runFor(milliseconds(5));
    EXPECT_EQ(calls, std::vector{1});
}

TEST_F(TimerTest, SubscriptionMayEndInsideItsOwnCallback)
{
    auto owned = std::make_shared<int>(7);
    const std::weak_ptr<int> watch = owned;
    Subscription every;
    every = timers.callEvery(milliseconds(1), [&, owned](auto &) {
        every.reset();
        calls.push_back(*owned);
    });
    owned.reset();
    runFor(milliseconds(10));
    EXPECT_EQ(calls, std::vector{7});
    EXPECT_TRUE(watch.expired());
}

TEST_F(TimerTest, MissedPeriodsAreSkipped)
{
    Duration lateness{};
    const auto every = timers.callEvery(milliseconds(1), [&](const TimerTick &tick) {
        calls.push_back(1);
        lateness = std::max(lateness, tick.lateness());
        if (calls.size() == 1)
            std::this_thread::sleep_for(milliseconds(50));
    });
    while (calls.size() < 2)
        context.run_one();
    EXPECT_GE(lateness, milliseconds(48));
    context.poll();
    EXPECT_LT(calls.size(), 20U);
}

TEST_F(TimerTest, TimerSetInsideACallbackDoesNotStarveOthers)
{
    std::function<void(const TimerTick &)> again;
    std::vector<Subscription> held;
    again = [&](auto &) { held.push_back(timers.callAfter(Duration(0), again)); };
    const auto start = timers.callAfter(Duration(0), [&](const TimerTick &tick) {
        timers.post([&] { calls.push_back(1); });
        again(tick);
    });
    while (calls.empty())
        context.run_one();
    EXPECT_EQ(calls, std::vector{1});
}

TEST(AsioTimerService, SubscriptionOutlivesTheService)
{
    boost::asio::io_context context;
    Subscription left;
    {
        AsioTimerService timers(context);
        left = timers.callAfter(Duration(0), [](auto &) { FAIL(); });
    }
    context.run();
    left.reset();
}

TEST(SeededRandom, SameSeedSameNumbers)
{
    SeededRandom one(5);
    SeededRandom two(5);
    EXPECT_EQ(one.next(), two.next());
    EXPECT_LT(one.below(3), 3U);
}
