#include "support/FaultSession.h"

#include <gtest/gtest.h>

#include <cstdlib>

using namespace oleander;
using namespace oleander::fakes;

namespace {

constexpr std::uint64_t sessionsInCi = 4000;

/// A number from the environment, for longer runs and for one seed.
std::uint64_t setting(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

Strike drawStrike(SeededRandom &random)
{
    const auto faults = allFaults();
    return {&faults[random.below(faults.size())], static_cast<Step>(random.below(stepCount))};
}

FaultSession drawSession(std::uint64_t seed)
{
    SeededRandom random(seed);
    FaultSession session{random.chance(500), random.chance(500), random.chance(300), seed, {}};
    session.strikes.push_back(drawStrike(random));
    session.strikes.push_back(drawStrike(random));
    return session;
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += "  " + line + "\n";
    return text;
}

} // namespace

/// OLEANDER_PAIR_FIRST and OLEANDER_PAIR_SESSIONS choose other seeds; OLEANDER_PAIR_TRACE prints
/// the whole session of each failing seed.
TEST(FaultPairs, AnyTwoFaultsAtAnyStepsKeepEveryPromise)
{
    const std::uint64_t first = setting("OLEANDER_PAIR_FIRST", 1);
    const std::uint64_t count = setting("OLEANDER_PAIR_SESSIONS", sessionsInCi);
    const bool isTracing = setting("OLEANDER_PAIR_TRACE", 0) != 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const FaultSession session = drawSession(seed);
        SCOPED_TRACE(describe(session));
        const FaultResult result = runFaultSession(session, isTracing);
        EXPECT_TRUE(result.broken.empty()) << describe(session) << "\n"
                                           << joined(result.broken) << joined(result.trace);
    }
}
