#include "ToolRun.h"

#include <oleander/settings/PolicyFor.h>
#include <oleander/tool/PolicyComparison.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oleander;

namespace {

const std::string config = examplePath("amms/config.json");

/// The example with one text replaced.
std::string changedConfig(const TemporaryFolder &folder, const std::string &from,
                          const std::string &to)
{
    std::string text = fileText(config);
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos);
    return folder.write("changed.json", text.replace(at, from.size(), to));
}

Subject randomSubject()
{
    const auto name = [] {
        return *rc::gen::element(std::string(), std::string("a"), std::string("b"));
    };
    Subject subject;
    subject.backend = BackendId(name());
    subject.caller = CallerId(name());
    return subject;
}

PolicySet randomSet()
{
    PolicySet set;
    const int count = *rc::gen::inRange(0, 5);
    for (int index = 0; index < count; ++index) {
        PolicyException exception;
        exception.name = "e" + std::to_string(index);
        exception.covers = randomSubject();
        exception.values.tailLimit = milliseconds(*rc::gen::inRange(1, 4));
        exception.fields = {"tailLimitMs"};
        set.exceptions.push_back(exception);
    }
    return set;
}

} // namespace

TEST(Explain, NamesTheExceptionThatDecidesAndItsReason)
{
    const ToolRun run = runInTest({"explain", "--config", config, "--backend", "studio-billing"});
    EXPECT_EQ(run.code, ExitCode::Ok);
    EXPECT_NE(run.out.find("exception billing-wants-everything"), std::string::npos) << run.out;
    EXPECT_NE(run.out.find("An invoice that lacks lines"), std::string::npos);
    EXPECT_EQ(run.out.find("portal-export-share"), std::string::npos);
    const ToolRun json = runInTest({"explain", "--config", config, "--backend", "label-portal",
                                    "--caller", "label-export", "--value", "hedging", "--json"});
    EXPECT_NE(json.out.find("\"exception\": \"portal-export-share\""), std::string::npos)
        << json.out;
    EXPECT_NE(json.out.find("\"inForce\": false"), std::string::npos);
}

TEST(Explain, RefusesWrongUse)
{
    EXPECT_EQ(runInTest({"explain"}).code, ExitCode::Usage);
    EXPECT_EQ(runInTest({"explain", "--config", config, "--value", "x"}).code, ExitCode::Usage);
    EXPECT_EQ(runInTest({"explain", "--platform", "127.0.0.1:9"}).code, ExitCode::Unreachable);
    EXPECT_EQ(runInTest({"explain", "--platform", "localhost:9"}).code, ExitCode::Unreachable);
}

TEST(Diff, ShowsSubjectsAndValuesThatAChangeTouches)
{
    const TemporaryFolder folder;
    EXPECT_EQ(runInTest({"diff", config, config}).code, ExitCode::Ok);
    const std::string changed =
        changedConfig(folder, "\"latencyObjectiveMs\": 500", "\"latencyObjectiveMs\": 400");
    const ToolRun run = runInTest({"diff", config, changed});
    EXPECT_EQ(run.code, ExitCode::Finding);
    EXPECT_NE(run.out.find("backend studio-billing  latencyObjectiveMs  500     400"),
              std::string::npos)
        << run.out;
    EXPECT_EQ(run.out.find("the whole fleet"), std::string::npos);
    const std::string broken = changedConfig(folder, "\"hedging\": false", "\"hedging\": 3");
    EXPECT_EQ(runInTest({"diff", config, broken}).code, ExitCode::Usage);
}

RC_GTEST_PROP(Diff, IsEmptyExactlyWhenNoSubjectIsServedDifferently, ())
{
    const PolicySet before = randomSet();
    const PolicySet after = randomSet();
    bool isDifferent = false;
    for (const char *backend : {"", "a", "b"}) {
        for (const char *caller : {"", "a", "b"}) {
            Subject subject;
            subject.backend = BackendId(backend);
            subject.caller = CallerId(caller);
            isDifferent |= !(policyFor(before, subject) == policyFor(after, subject));
        }
    }
    RC_ASSERT(comparePolicies(before, after).values.empty() == !isDifferent);
}

RC_GTEST_PROP(Explain, AgreesWithWhatIsInForce, ())
{
    const PolicySet set = randomSet();
    const Subject subject = randomSubject();
    for (const ExplainedValue &value : explainPolicy(set, subject)) {
        RC_ASSERT(value.value == valueText(*value.field, policyFor(set, subject)));
        const Policy &source = value.source ? value.source->values : set.defaults;
        RC_ASSERT(isEqualIn(*value.field, source, policyFor(set, subject)));
    }
}
