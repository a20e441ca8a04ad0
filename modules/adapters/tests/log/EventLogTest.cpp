#include <oleander/adapters/log/EventLine.h>
#include <oleander/adapters/log/GlogEventLog.h>

#include <gtest/gtest.h>

#include <thread>

using namespace oleander;

TEST(EventLine, HoldsNumberNameRequestAndText)
{
    EXPECT_EQ(eventLine(EventId::QueryPartial, RequestId("r-17"), "19 of 20 shards"),
              "301 QueryPartial [r-17] 19 of 20 shards");
    EXPECT_EQ(eventLine(EventId::DaemonReady, RequestId{}, "version 3"),
              "101 DaemonReady version 3");
}

TEST(EventLine, ControlCharactersAreReplacedAndLongTextsTruncated)
{
    const std::string line =
        eventLine(EventId::QueryRefused, RequestId("a\n100 DaemonStarted"), "\x1b[31m\r\n");
    EXPECT_EQ(line.find_first_of("\r\n\x1b"), std::string::npos);
    const std::string large(10000, 'x');
    EXPECT_LT(eventLine(EventId::QueryRefused, RequestId(large), large).size(), 900U);
}

TEST(GlogEventLog, WritesOrCountsEveryLineOfSeveralThreads)
{
    constexpr std::uint64_t threadCount = 4;
    constexpr std::uint64_t linesEach = 500;
    testing::internal::CaptureStderr();
    std::uint64_t dropped = 0;
    {
        GlogEventLog log;
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (std::uint64_t thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&log] {
                for (std::uint64_t line = 0; line < linesEach; ++line)
                    log.record(EventId::ServerEjected, RequestId("r"), "a line of the test");
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        dropped = log.droppedLines();
    }
    const std::string output = testing::internal::GetCapturedStderr();
    std::uint64_t written = 0;
    for (std::size_t at = output.find("402 ServerEjected [r]"); at != std::string::npos;
         at = output.find("402 ServerEjected [r]", at + 1))
        ++written;
    EXPECT_EQ(written + dropped, threadCount * linesEach);
    EXPECT_GT(written, 0U);
}

TEST(GlogEventLog, WritesWhatIsQueuedWhenItEnds)
{
    constexpr int repetitions = 50;
    testing::internal::CaptureStderr();
    for (int index = 0; index < repetitions; ++index) {
        GlogEventLog log;
        log.record(EventId::ServerEjected, RequestId("last"), "");
    }
    const std::string output = testing::internal::GetCapturedStderr();
    int written = 0;
    for (std::size_t at = output.find("[last]"); at != std::string::npos;
         at = output.find("[last]", at + 1)) {
        EXPECT_EQ(output.at(output.rfind('\n', at) + 1), 'W');
        ++written;
    }
    EXPECT_EQ(written, repetitions);
}
