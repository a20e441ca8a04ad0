#include <oleander/decisions/request/RateLimit.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace oleander;

/// Senders that always have a request stay, together, within the rate plus one request each and a
/// quarter second's worth.
RC_GTEST_PROP(RateLimit, SendersTogetherKeepTheRate, ())
{
    const int senders = *rc::gen::inRange(1, 60);
    const double rate = *rc::gen::inRange(1, 400);
    TimePoint now = TimePoint{} + seconds(100);
    std::vector<RateLimit> limits;
    limits.reserve(static_cast<std::size_t>(senders));
    for (int sender = 0; sender < senders; ++sender)
        limits.push_back(startRateLimit(rate, senders, static_cast<double>(sender) / senders, now));
    const TimePoint end = now + seconds(4);
    int sent = 0;
    while (now < end) {
        for (RateLimit &limit : limits) {
            if (untilToken(limit, now) > Duration{})
                continue;
            takeToken(limit, now);
            ++sent;
        }
        now += milliseconds(*rc::gen::inRange(1, 300));
    }
    RC_ASSERT(sent <= rate * 4.25 + senders);
}

TEST(RateLimit, SenderIsToldExactlyWhenItMaySend)
{
    TimePoint now = TimePoint{} + seconds(100);
    RateLimit limit = startRateLimit(7, 3, 0.25, now);
    for (int number = 0; number < 100; ++number) {
        const Duration wait = untilToken(limit, now);
        if (wait > Duration{}) {
            EXPECT_GT(untilToken(limit, now + wait - microseconds(1)), Duration{});
        }
        now += wait;
        ASSERT_EQ(untilToken(limit, now), Duration{});
        takeToken(limit, now);
    }
    EXPECT_LE(now - (TimePoint{} + seconds(100)), seconds(43));
}

TEST(RateLimit, ReceiverThatAcceptsNothingIsAskedNowAndThen)
{
    const TimePoint now = TimePoint{} + seconds(100);
    const RateLimit limit = startRateLimit(0, 1, 0, now);
    EXPECT_GE(untilToken(limit, now), seconds(10));
    EXPECT_LE(untilToken(limit, now), seconds(30));
}
