#include <oleander/core/ErrorKind.h>
#include <oleander/core/Event.h>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace oleander;

TEST(ErrorTable, EveryKindHasItsOwnRow)
{
    for (int value = 0; value <= static_cast<int>(ErrorKind::Internal); ++value) {
        const auto kind = static_cast<ErrorKind>(value);
        EXPECT_EQ(answerFor(kind).kind, kind);
        EXPECT_EQ(errorKindNamed(answerFor(kind).name), kind);
    }
}

TEST(ErrorTable, KindsThatMayHaveRunAreNotSafeToRepeat)
{
    for (int value = 1; value <= static_cast<int>(ErrorKind::Internal); ++value) {
        const ErrorAnswer &row = answerFor(static_cast<ErrorKind>(value));
        if (row.ran != ExecutionState::NotRun && row.kind != ErrorKind::DeadlinePassed) {
            EXPECT_FALSE(row.mayRepeat) << row.name;
        }
    }
}

TEST(EventTable, NumbersIncreaseAndEveryEventIsDocumented)
{
    std::ifstream file(OLEANDER_SOURCE_DIR "/docs/events.md");
    std::stringstream text;
    text << file.rdbuf();
    int last = 0;
    for (const EventInfo &event : allEvents()) {
        EXPECT_GT(static_cast<int>(event.id), last);
        last = static_cast<int>(event.id);
        const std::string row =
            "| " + std::to_string(last) + " | " + std::string(event.name) + " |";
        EXPECT_NE(text.str().find(row), std::string::npos) << row;
    }
}
