#include <oleander/adapters/log/JsonEventLog.h>
#include <oleander/adapters/time/AsioTimerService.h>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>
#include <utility>

using namespace oleander;

namespace {

struct JsonEventLogTest : ::testing::Test
{
    JsonEventLogTest()
    {
        EXPECT_EQ(::pipe(ends.data()), 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~JsonEventLogTest() override
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::vector<nlohmann::json> written()
    {
        std::string text;
        std::array<char, 65536> buffer{};
        for (ssize_t count = 0; (count = ::read(ends[0], buffer.data(), buffer.size())) > 0;)
            text.append(buffer.data(), static_cast<std::size_t>(count));
        std::istringstream lines(text);
        std::vector<nlohmann::json> read;
        for (std::string line; std::getline(lines, line);)
            read.push_back(nlohmann::json::parse(line));
        return read;
    }

    std::array<int, 2> ends{};
    boost::asio::io_context context;
    AsioTimerService timer{context};
};

TEST_F(JsonEventLogTest, WritesFieldsAndTheRequestsId)
{
    {
        JsonEventLog log(ends[1], "a-1", timer);
        log.record(EventId::QueryFailed, RequestId("r\n\xff"),
                   {{"cause", "late"}, {"status", 504}, {"isForced", true}, {"afterMs", 1.5}});
    }
    const auto lines = written();
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0]["event"], 302);
    EXPECT_EQ(lines[0]["name"], "QueryFailed");
    EXPECT_EQ(lines[0]["instance"], "a-1");
    EXPECT_EQ(lines[0]["status"], 504);
    EXPECT_EQ(lines[0]["isForced"], true);
    EXPECT_TRUE(lines[0]["request"].get<std::string>().starts_with("r\n"));
}

TEST_F(JsonEventLogTest, FailuresAreWrittenWhenInformationIsLeftOut)
{
    LogLimits volume;
    volume.infoPerSecond = 5;
    {
        JsonEventLog log(ends[1], "a-1", timer, volume);
        for (int number = 0; number < 100; ++number)
            log.record(EventId::QueryAnswered, RequestId("r"), {{"status", 200}});
        log.record(EventId::QueryFailed, RequestId("r"), {{"status", 504}});
        EXPECT_EQ(log.droppedLineCount(), 90U);
    }
    const auto lines = written();
    ASSERT_EQ(lines.size(), 11U);
    EXPECT_EQ(lines.back()["name"], "QueryFailed");
}

TEST_F(JsonEventLogTest, ReaderThatStopsReadingCostsLinesAndNoTime)
{
    LogLimits volume;
    volume.infoPerSecond = 1e9;
    volume.bufferBytes = 10'000;
    JsonEventLog log(ends[1], "a-1", timer, volume);
    const std::string large(200, 'x');
    for (int number = 0; number < 2000; ++number)
        log.record(EventId::QueryAnswered, RequestId("r"), {{"route", large}});
    EXPECT_GT(log.droppedLineCount(), 1900U);
}

} // namespace
