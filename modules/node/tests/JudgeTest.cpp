#include "support/TestFleet.h"

#include <gtest/gtest.h>

#include <array>

using namespace oleander;
using namespace oleander::fakes;

namespace {

/// A change to a good session's history and what the judge must say of it.
struct Tampering
{
    const char *verdict;
    void (*change)(History &history);
};

Submission &firstOf(History &history)
{
    return *history.submissions.front();
}

Answer &answerOf(History &history)
{
    return *firstOf(history).answer;
}

Submission &claimOf(History &history)
{
    return *history.submissions.back();
}

const std::array tamperings{
    Tampering{"never answered", [](History &history) { firstOf(history).answer.reset(); }},
    Tampering{"answered twice", [](History &history) { firstOf(history).isDoublyAnswered = true; }},
    Tampering{"after its deadline",
              [](History &history) { firstOf(history).answeredAt += seconds(2); }},
    Tampering{"twice",
              [](History &history) {
                  auto &documents = answerOf(history).documents;
                  documents.insert(documents.begin(), documents.front());
              }},
    Tampering{"documents where coverage says",
              [](History &history) { answerOf(history).documents.pop_back(); }},
    Tampering{"documents where coverage says",
              [](History &history) { answerOf(history).documents.clear(); }},
    Tampering{"in the answer to",
              [](History &history) { answerOf(history).documents.front().body = "2|desk|q"; }},
    Tampering{"no published map",
              [](History &history) { answerOf(history).snapshot = SnapshotId(9); }},
    Tampering{"asked 3 shards of 4",
              [](History &history) {
                  answerOf(history).coverage.asked = 3;
                  answerOf(history).coverage.answered = 3;
              }},
    Tampering{"coverage does not add up",
              [](History &history) { answerOf(history).coverage.answered = 3; }},
    Tampering{"called whole with missing shards",
              [](History &history) { answerOf(history).coverage.missing.emplace_back("shard1"); }},
    Tampering{"called partial",
              [](History &history) { answerOf(history).outcome = Outcome::Partial; }},
    Tampering{"said not run, but executed",
              [](History &history) { answerOf(history) = refusal(ErrorKind::Overloaded, {}); }},
    Tampering{"refused, but may have run",
              [](History &history) {
                  answerOf(history) = refusal(ErrorKind::Overloaded, {});
                  answerOf(history).ran = ExecutionState::MaybeRan;
              }},
    Tampering{"never executed", [](History &history) { history.executions.clear(); }},
    Tampering{"executed twice",
              [](History &history) {
                  const RequestId claim = claimOf(history).query.request;
                  const auto executions = history.executions;
                  for (const SubRequestEvent &execution : executions) {
                      if (execution.request.request == claim)
                          history.executions.push_back(execution);
                  }
              }},
    Tampering{"which drains",
              [](History &history) {
                  const SubRequestEvent &send = history.sends.back();
                  history.drains.push_back({send.at - seconds(4), send.daemon, send.server});
              }},
    Tampering{"crashed 65 servers",
              [](History &history) {
                  for (int server = 0; server < 65; ++server)
                      history.crashedServers.emplace(std::to_string(server));
              }},
    Tampering{"a version went back",
              [](History &history) {
                  VersionEvent event = history.versions.back();
                  event.configuration = SectionVersion(0);
                  history.versions.push_back(event);
              }},
    Tampering{"published was 7",
              [](History &history) { history.newestConfiguration = SectionVersion(7); }},
};

} // namespace

TEST(Judge, SeesEachBrokenPromise)
{
    for (const Tampering &tampering : tamperings) {
        TestFleet fleet(ammsShape(), 3);
        fleet.runFor(warmUp);
        fleet.submit(1, fleet.query("desk", "q"));
        fleet.submit(2, fleet.claim("desk", "c"));
        fleet.runFor(seconds(2));
        JudgeRules rules;
        ASSERT_TRUE(fleet.verdict(rules).empty());
        tampering.change(fleet.history());
        std::string text;
        for (const std::string &line : brokenPromises(fleet.history(), rules))
            text += line + "\n";
        EXPECT_NE(text.find(tampering.verdict), std::string::npos)
            << tampering.verdict << " not in: " << text;
    }
}
