#include "Asio.h"

#include <oleander/adapters/platform/AsioPlatformReader.h>
#include <oleander/standins/ConfigStandin.h>

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::standins;

namespace {

struct PlatformReaderTest : ::testing::Test
{
    void SetUp() override
    {
        Reason reason;
        port = service.listen("127.0.0.1:0", reason);
        ASSERT_TRUE(port) << reason.text;
    }

    AsioPlatformReader reader()
    {
        return {context, {"127.0.0.1:1", "127.0.0.1:" + std::to_string(*port)}, {}};
    }

    PlatformCallback note()
    {
        return [this](PlatformValue value) { values.push_back(std::move(value)); };
    }

    void waitFor(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(20);
        while (values.size() < count && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(milliseconds(5));
        }
        ASSERT_EQ(values.size(), count);
    }

    asio::io_context context{1};
    ConfigStandin service{context};
    std::optional<std::uint16_t> port;
    std::vector<PlatformValue> values;
};

} // namespace

TEST_F(PlatformReaderTest, ReadsFromTheAddressThatAnswers)
{
    service.put("config", "{}");
    auto platform = reader();
    platform.read("config", note());
    platform.read("missing", note());
    EXPECT_TRUE(values.empty());
    waitFor(2);
    const auto found = std::find_if(values.begin(), values.end(), [](const auto &value) {
        return value.status == PlatformStatus::Ok;
    });
    ASSERT_NE(found, values.end());
    EXPECT_EQ(found->body, "{}");
    EXPECT_EQ(found->version, SectionVersion(1));
    EXPECT_EQ(service.calls(), 2U);
}

TEST_F(PlatformReaderTest, WatchEndsWithTheNextVersion)
{
    service.put("config", "one");
    auto platform = reader();
    platform.watch("config", SectionVersion(1), seconds(20), note());
    context.run_for(milliseconds(50));
    EXPECT_TRUE(values.empty());
    service.put("config", "two");
    waitFor(1);
    EXPECT_EQ(values[0].version, SectionVersion(2));
    EXPECT_EQ(values[0].body, "two");
}

TEST_F(PlatformReaderTest, WatchWithoutAChangeSaysSo)
{
    service.put("config", "one");
    auto platform = reader();
    platform.watch("config", SectionVersion(1), milliseconds(20), note());
    waitFor(1);
    EXPECT_EQ(values[0].status, PlatformStatus::NotChanged);
}

TEST_F(PlatformReaderTest, ServiceThatIsDownIsUnreachable)
{
    service.put("config", "one");
    service.setDown(true);
    auto platform = reader();
    platform.read("config", note());
    waitFor(1);
    EXPECT_EQ(values[0].status, PlatformStatus::Unreachable);
    service.setDown(false);
    platform.read("config", note());
    waitFor(2);
    EXPECT_EQ(values[1].status, PlatformStatus::Ok);
}

TEST_F(PlatformReaderTest, StaleServiceServesTheValueBefore)
{
    service.put("config", "one");
    service.put("config", "two");
    service.setStale(true);
    auto platform = reader();
    platform.read("config", note());
    waitFor(1);
    EXPECT_EQ(values[0].version, SectionVersion(1));
    EXPECT_EQ(values[0].body, "one");
}

TEST_F(PlatformReaderTest, ValueAboveTheBoundIsUnreachable)
{
    service.put("config", std::string(std::size_t{1024} * 1024 + 1, 'x'));
    auto platform = reader();
    platform.read("config", note());
    waitFor(1);
    EXPECT_EQ(values[0].status, PlatformStatus::Unreachable);
}

TEST_F(PlatformReaderTest, DestroyedReaderReportsNothing)
{
    service.put("config", "one");
    {
        auto platform = reader();
        platform.read("config", note());
    }
    context.run_for(milliseconds(50));
    EXPECT_TRUE(values.empty());
}
