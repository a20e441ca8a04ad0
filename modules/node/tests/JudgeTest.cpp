#include "support/TestFleet.h"

#include <gtest/gtest.h>

#include <array>

using namespace oleander;
using namespace oleander::fakes;

namespace {

/// A change to the history of a correct session, and a part of the violation that Judge must then
/// report.
struct Mutation
{
    const char *expectedViolation;
    void (*change)(History &history);
};

Submission &firstSubmission(History &history)
{
    return *history.submissions.front();
}

Answer &firstAnswer(History &history)
{
    return *firstSubmission(history).answer;
}

Submission &nonIdempotentSubmission(History &history)
{
    return *history.submissions.back();
}

const std::array mutations{
    Mutation{"never answered", [](History &history) { firstSubmission(history).answer.reset(); }},
    Mutation{"answered twice",
             [](History &history) { firstSubmission(history).isAnsweredTwice = true; }},
    Mutation{"after its deadline",
             [](History &history) { firstSubmission(history).answeredAt += seconds(2); }},
    Mutation{"is duplicated",
             [](History &history) {
                 auto &documents = firstAnswer(history).documents;
                 documents.insert(documents.begin(), documents.front());
             }},
    Mutation{"documents, but the covered shards have",
             [](History &history) { firstAnswer(history).documents.pop_back(); }},
    Mutation{"documents, but the covered shards have",
             [](History &history) { firstAnswer(history).documents.clear(); }},
    Mutation{"in the answer to",
             [](History &history) { firstAnswer(history).documents.front().body = "2|desk|q"; }},
    Mutation{"no published map",
             [](History &history) { firstAnswer(history).snapshot = SnapshotId(9); }},
    Mutation{"asked 3 shards of 4",
             [](History &history) {
                 firstAnswer(history).coverage.asked = 3;
                 firstAnswer(history).coverage.answered = 3;
             }},
    Mutation{"answered and missing shards do not add up",
             [](History &history) { firstAnswer(history).coverage.answered = 3; }},
    Mutation{
        "outcome answered, but shards are missing",
        [](History &history) { firstAnswer(history).coverage.missing.emplace_back("shard1"); }},
    Mutation{"outcome partial, but no shard is missing",
             [](History &history) { firstAnswer(history).outcome = Outcome::Partial; }},
    Mutation{"reported as not run, but executed",
             [](History &history) { firstAnswer(history) = refusal(ErrorKind::Overloaded, {}); }},
    Mutation{"outcome refused, but the query may have run",
             [](History &history) {
                 firstAnswer(history) = refusal(ErrorKind::Overloaded, {});
                 firstAnswer(history).ran = ExecutionState::MaybeRan;
             }},
    Mutation{"reported as run, but never executed",
             [](History &history) { history.executions.clear(); }},
    Mutation{"executed twice",
             [](History &history) {
                 const RequestId nonIdempotent = nonIdempotentSubmission(history).query.request;
                 const auto executions = history.executions;
                 for (const SubRequestEvent &execution : executions) {
                     if (execution.request.request == nonIdempotent)
                         history.executions.push_back(execution);
                 }
             }},
    Mutation{"which is draining",
             [](History &history) {
                 const SubRequestEvent &send = history.sends.back();
                 history.drains.push_back({send.at - seconds(4), send.process, send.server});
             }},
    Mutation{"crashed 65 servers",
             [](History &history) {
                 for (int server = 0; server < 65; ++server)
                     history.crashedServers.emplace(std::to_string(server));
             }},
    Mutation{"a version decreased at daemon",
             [](History &history) {
                 VersionChange event = history.versions.back();
                 event.configuration = SectionVersion(0);
                 history.versions.push_back(event);
             }},
    Mutation{"but the newest is 7",
             [](History &history) { history.newestConfiguration = SectionVersion(7); }},
};

} // namespace

TEST(Judge, ReportsEachViolation)
{
    for (const Mutation &mutation : mutations) {
        TestFleet fleet(ammsOptions(), 3);
        fleet.runFor(warmUpTime);
        fleet.submit(1, fleet.query("desk", "q"));
        fleet.submit(2, fleet.nonIdempotentQuery("desk", "c"));
        fleet.runFor(seconds(2));
        CheckOptions checkOptions;
        ASSERT_TRUE(fleet.checkHistory(checkOptions).empty());
        mutation.change(fleet.history());
        std::string text;
        for (const std::string &line : findViolations(fleet.history(), checkOptions))
            text += line + "\n";
        EXPECT_NE(text.find(mutation.expectedViolation), std::string::npos)
            << mutation.expectedViolation << " not in: " << text;
    }
}
