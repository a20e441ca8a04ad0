#include "support/FaultSession.h"

#include <gtest/gtest.h>

#include <cstdlib>

using namespace oleander;
using namespace oleander::fakes;

namespace {

constexpr std::uint64_t defaultSessionCount = 4000;

/// Number from an environment variable, or `fallback` if it is not set.
std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

FaultInjection randomInjection(SeededRandom &random)
{
    const auto faults = allFaults();
    return {&faults[random.below(faults.size())],
            static_cast<QueryStage>(random.below(stageCount))};
}

FaultSession randomSession(std::uint64_t seed)
{
    SeededRandom random(seed);
    FaultSession session{random.chance(500), random.chance(500), random.chance(300), seed, {}};
    session.injections.push_back(randomInjection(random));
    session.injections.push_back(randomInjection(random));
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

/// OLEANDER_PAIR_FIRST and OLEANDER_PAIR_SESSIONS set the first seed and the number of seeds. With
/// OLEANDER_PAIR_TRACE=1, the trace of each failing session is printed.
TEST(FaultPairs, TwoRandomFaultsAtRandomStagesKeepAllGuarantees)
{
    const std::uint64_t first = numberFromEnvironment("OLEANDER_PAIR_FIRST", 1);
    const std::uint64_t count =
        numberFromEnvironment("OLEANDER_PAIR_SESSIONS", defaultSessionCount);
    const bool isTracing = numberFromEnvironment("OLEANDER_PAIR_TRACE", 0) != 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const FaultSession session = randomSession(seed);
        SCOPED_TRACE(describe(session));
        const FaultResult result = runFaultSession(session, isTracing);
        EXPECT_TRUE(result.violations.empty()) << describe(session) << "\n"
                                               << joined(result.violations) << joined(result.trace);
    }
}
