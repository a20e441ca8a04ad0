#include <oleander/decisions/request/ServerRoom.h>

#include <gtest/gtest.h>

using namespace oleander;

namespace {

constexpr Duration service = milliseconds(20);

// Guards against waits that are expected of a server that nothing is known of, which would refuse
// requests after a quiet time.
TEST(ServerRoom, ServerWithoutReportIsExpectedToBeFree)
{
    const ServerRoom room{.slots = 2};
    EXPECT_TRUE(hasFreeSlot(room));
    EXPECT_EQ(expectedWait(room, service), Duration{});
    EXPECT_EQ(expectedCompletion(room, service), service);
}

TEST(ServerRoom, RequestsOfOtherSendersAreWaitedFor)
{
    const ServerRoom room{.slots = 2, .reported = 5, .reportAge = Duration{}};
    EXPECT_FALSE(hasFreeSlot(room));
    EXPECT_EQ(expectedWait(room, service), 2 * service);
    EXPECT_EQ(expectedCompletion(room, service), 3 * service);
}

// Guards against instances that go on refusing because of a report that no reply renews.
TEST(ServerRoom, ReportFadesWithItsAge)
{
    ServerRoom room{.slots = 2, .reported = 8, .reportAge = Duration{}};
    Duration before = expectedWait(room, service);
    for (const int age : {100, 300, 500, 600, 5000}) {
        room.reportAge = milliseconds(age);
        EXPECT_LE(expectedWait(room, service), before);
        before = expectedWait(room, service);
    }
    EXPECT_TRUE(hasFreeSlot(room));
}

// Guards against a burst from one sender between two reports.
TEST(ServerRoom, OwnRequestsSinceTheReportCountAtOnce)
{
    const ServerRoom room{.slots = 2,
                          .reported = 0,
                          .reportAge = milliseconds(5),
                          .ownInFlight = 2,
                          .ownSentSince = 2};
    EXPECT_FALSE(hasFreeSlot(room));
}

TEST(ServerRoom, SlowPaceLengthensWaitAndExecution)
{
    ServerRoom room{.slots = 1, .ownInFlight = 1};
    room.pace = 2.5;
    EXPECT_EQ(expectedWait(room, service), milliseconds(50));
    EXPECT_EQ(expectedCompletion(room, service), milliseconds(100));
}

} // namespace
