#include <oleander/decisions/request/AnswerMargin.h>

#include <gtest/gtest.h>

using namespace oleander;

namespace {

// Guards against answers that leave out parts although there was time to wait for them: with a
// constant margin of 16 ms an objective of 40 ms was used to 24 ms only.
TEST(AnswerMargin, ShortWaysLeaveMoreOfTheObjective)
{
    EXPECT_EQ(answerMargin({.roundTrip = milliseconds(2), .wakeUpLateness = milliseconds(1)}),
              milliseconds(8));
}

TEST(AnswerMargin, LongOrUnknownWaysKeepBackTheSame)
{
    EXPECT_EQ(answerMargin({}), milliseconds(16));
    EXPECT_EQ(answerMargin({.roundTrip = milliseconds(80)}), milliseconds(16));
}

TEST(AnswerMargin, LateWakeUpsAreKeptBack)
{
    EXPECT_EQ(answerMargin({.roundTrip = milliseconds(2), .wakeUpLateness = milliseconds(6)}),
              milliseconds(13));
}

} // namespace
