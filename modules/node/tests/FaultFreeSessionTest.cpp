#include "support/TestFleet.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::fakes;

namespace {

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += line + "\n";
    return text;
}

} // namespace

TEST(FaultFreeSession, EveryQueryGetsACompleteAnswer)
{
    for (const FleetOptions &options : {ammsOptions(), fotolectorOptions()}) {
        TestFleet fleet(options, 1);
        fleet.history().isTracing = true;
        fleet.runFor(warmUpTime);
        for (int number = 0; number < 40; ++number) {
            const std::string request = "r" + std::to_string(number);
            fleet.submit(number % 4, number % 5 == 0 ? fleet.nonIdempotentQuery("caller", request)
                                                     : fleet.query("caller", request));
            fleet.runFor(milliseconds(7));
        }
        fleet.runFor(seconds(3));
        CheckOptions checkOptions;
        checkOptions.requiresCompleteAnswers = true;
        EXPECT_TRUE(fleet.checkHistory(checkOptions).empty())
            << joined(fleet.checkHistory(checkOptions));
        for (const auto &submission : fleet.history().submissions) {
            EXPECT_TRUE(submission->answer && submission->answer->outcome == Outcome::Answered)
                << submission->query.request << joined(fleet.history().trace);
        }
    }
}
