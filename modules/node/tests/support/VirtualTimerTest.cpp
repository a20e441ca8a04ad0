#include <gtest/gtest.h>

#include <support/VirtualTimer.h>
#include <vector>

using namespace oleander;
using oleander::testing::VirtualScheduler;
using oleander::testing::VirtualTimer;

TEST(VirtualTimer, ReportsLatenessAfterAPause)
{
    VirtualScheduler scheduler;
    VirtualTimer timer(scheduler);
    std::vector<Duration> late;
    const auto every = timer.callEvery(
        milliseconds(10), [&](const TimerTick &tick) { late.push_back(tick.lateness()); });
    scheduler.runFor(milliseconds(25));
    EXPECT_EQ(late, (std::vector<Duration>{milliseconds(0), milliseconds(0)}));
    timer.pauseFor(milliseconds(100));
    scheduler.runFor(milliseconds(105));
    EXPECT_EQ(late.size(), 3U);
    EXPECT_EQ(late.back(), milliseconds(95));
}

TEST(VirtualTimer, ResetSubscriptionsDoNotFireEvenWhenResetInTheirCallback)
{
    VirtualScheduler scheduler;
    VirtualTimer timer(scheduler);
    int calls = 0;
    Subscription self;
    self = timer.callEvery(milliseconds(1), [&](const TimerTick &) {
        ++calls;
        self.reset();
    });
    timer.callAfter(milliseconds(2), [&](const TimerTick &) { ++calls; }).reset();
    scheduler.runFor(milliseconds(10));
    EXPECT_EQ(calls, 1);
}
