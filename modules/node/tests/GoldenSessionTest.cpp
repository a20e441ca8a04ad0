#include "support/GoldenSession.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace oleander::fakes;

namespace {

const std::filesystem::path sessionFolder = std::filesystem::path(OLEANDER_SOURCE_DIR) / "sessions";
constexpr std::size_t minimumSessionCount = 16;

std::string contentOf(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

/// Replays the recorded sessions and compares the outcome. With OLEANDER_UPDATE_SESSIONS=1, writes
/// the files anew instead, so that the differences can be reviewed.
TEST(GoldenSession, ReplaysMatchTheRecordedSessions)
{
    const bool isUpdating = std::getenv("OLEANDER_UPDATE_SESSIONS") != nullptr;
    std::size_t count = 0;
    for (const auto &file : std::filesystem::directory_iterator(sessionFolder)) {
        if (file.path().extension() != ".txt")
            continue;
        ++count;
        std::string reason;
        const std::string recorded = contentOf(file.path());
        const auto replayed = replaySession(recorded, reason);
        ASSERT_TRUE(replayed) << file.path().filename() << ": " << reason;
        if (isUpdating)
            std::ofstream(file.path()) << *replayed;
        else
            EXPECT_EQ(*replayed, recorded) << file.path().filename();
        EXPECT_NE(replayed->find("every promise kept"), std::string::npos)
            << file.path().filename();
    }
    EXPECT_GE(count, minimumSessionCount);
}
