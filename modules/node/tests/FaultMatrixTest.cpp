#include "support/FaultSession.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::fakes;

namespace {

constexpr std::uint64_t seedsPerCell = 3;

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += "  " + line + "\n";
    return text;
}

} // namespace

TEST(FaultMatrix, EveryFaultAtEveryStepKeepsEveryPromise)
{
    int sessions = 0;
    for (const FaultKind &fault : allFaults()) {
        for (int step = 0; step < stepCount; ++step) {
            for (const bool isAmms : {true, false}) {
                for (const bool isIdempotent : {true, false}) {
                    for (std::uint64_t seed = 1; seed <= seedsPerCell; ++seed) {
                        FaultSession session{isAmms, isIdempotent, seed, {}};
                        session.strikes.push_back({&fault, static_cast<Step>(step)});
                        const FaultResult result = runFaultSession(session);
                        ++sessions;
                        EXPECT_TRUE(result.isReached) << describe(session);
                        EXPECT_TRUE(result.broken.empty()) << describe(session) << "\n"
                                                           << joined(result.broken);
                    }
                }
            }
        }
    }
    RecordProperty("sessions", sessions);
}
