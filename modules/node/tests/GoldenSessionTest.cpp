#include "support/GoldenSession.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace oleander::fakes;

namespace {

const std::filesystem::path sessionFolder = std::filesystem::path(OLEANDER_SOURCE_DIR) / "sessions";
constexpr std::size_t fewestSessions = 16;

std::string contentOf(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

/// Compares whole sessions. With OLEANDER_UPDATE_SESSIONS=1 it writes them anew instead, for a
/// person to read the difference.
TEST(GoldenSession, EverySessionEndsAsRecorded)
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
    EXPECT_GE(count, fewestSessions);
}
