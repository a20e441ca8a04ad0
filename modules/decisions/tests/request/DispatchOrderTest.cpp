#include <oleander/decisions/request/DispatchOrder.h>

#include <gtest/gtest.h>

using namespace oleander;

namespace {

constexpr Duration execution = milliseconds(20);

TimePoint at(int ms)
{
    return TimePoint{} + milliseconds(ms);
}

// Guards against late work that delays work which could still be answered in time, and against
// lower priorities before higher ones.
TEST(DispatchOrder, PriorityThenObjectiveThenArrival)
{
    const TimePoint now = at(100);
    const WaitingWork urgent{0, at(90), at(95), execution};
    const WaitingWork early{1, at(10), at(200), execution};
    const WaitingWork late{1, at(50), at(250), execution};
    const WaitingWork hopeless{1, at(0), at(110), execution};
    EXPECT_TRUE(isSentBefore(urgent, early, now));
    EXPECT_TRUE(isSentBefore(early, late, now));
    EXPECT_TRUE(isSentBefore(late, hopeless, now));
    EXPECT_FALSE(isSentBefore(hopeless, early, now));
}

// Guards against a bound that does not follow the objectives: behind the requests that it permits,
// one of the higher priority waits no longer than tolerated.
TEST(DispatchOrder, FillLimitKeepsTheWaitOfTheHigherPriorityWithinItsTolerance)
{
    for (const int toleratedMs : {0, 5, 10, 25, 60, 200}) {
        for (const double pace : {0.5, 1.0, 5.0}) {
            ServerRoom room{.slots = 2, .reportAge = Duration{}, .pace = pace};
            const Duration tolerated = milliseconds(toleratedMs);
            const int limit = fillLimit(room, tolerated, execution);
            EXPECT_GE(limit, room.slots);
            room.reported = limit;
            if (limit > room.slots) {
                EXPECT_LE(expectedWait(room, execution), tolerated);
            }
            room.reported = limit + 1;
            EXPECT_GT(expectedWait(room, execution), tolerated);
        }
    }
}

// Guards against several senders that each fill a server because the requests of the others are
// taken to have ended.
TEST(DispatchOrder, ReportedRequestsCountUntilTheNextReport)
{
    ServerRoom room{.slots = 2, .reported = 2, .reportAge = milliseconds(100), .ownInFlight = 1};
    EXPECT_FALSE(hasRoomBelow(room, 2, execution));
    EXPECT_TRUE(hasRoomBelow(room, 3, execution));
}

// Guards against slots that stay idle while the report of a sender without requests there is old.
TEST(DispatchOrder, SenderWithoutRequestsAssumesThatReportedOnesEnd)
{
    ServerRoom room{.slots = 2, .reported = 4, .reportAge = Duration{}};
    EXPECT_FALSE(hasRoomBelow(room, 2, execution));
    room.reportAge = milliseconds(30);
    EXPECT_FALSE(hasRoomBelow(room, 2, execution));
    room.reportAge = milliseconds(40);
    EXPECT_TRUE(hasRoomBelow(room, 2, execution));
}

TEST(DispatchOrder, ServerWithoutReportHasRoomForOwnRequestsUpToTheLimit)
{
    ServerRoom room{.slots = 2, .ownInFlight = 1, .ownSentSince = 1};
    EXPECT_TRUE(hasRoomBelow(room, 2, execution));
    room.ownInFlight = 2;
    EXPECT_FALSE(hasRoomBelow(room, 2, execution));
}

} // namespace
