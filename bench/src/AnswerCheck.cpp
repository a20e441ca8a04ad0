#include <oleander/bench/AnswerCheck.h>
#include <oleander/standins/StandinDocuments.h>

#include <map>
#include <set>

namespace oleander::bench {

namespace {

using Faults = std::vector<std::string>;

/// The shard that a document's body begins with.
std::string shardOf(const Document &document)
{
    return document.body.substr(0, document.body.find('@'));
}

void checkDocuments(const Query &query, const Answer &answer, Faults &faults)
{
    std::set<DocumentId> seen;
    for (const auto &document : answer.documents) {
        if (!seen.insert(document.id).second)
            faults.emplace_back("document twice");
        const auto prefix =
            standins::documentPrefix(shardOf(document), answer.snapshot, query.payload);
        if (!document.body.starts_with(prefix))
            faults.emplace_back("document of another snapshot or query");
        if (!document.id.text().starts_with(shardOf(document)))
            faults.emplace_back("document of another shard");
    }
}

/// Documents by shard, the shared one under its own name.
std::map<std::string, int> countDocuments(const Answer &answer)
{
    std::map<std::string, int> counts;
    for (const auto &document : answer.documents)
        ++counts[shardOf(document)];
    return counts;
}

void checkCoverage(const QueryClass &asked, const Answer &answer, Faults &faults)
{
    const auto &coverage = answer.coverage;
    const auto missing = static_cast<int>(coverage.missing.size());
    if (coverage.asked != static_cast<int>(asked.shards.size()))
        faults.emplace_back("asked shards miscounted");
    if (coverage.answered + missing != coverage.asked)
        faults.emplace_back("answered and missing do not add up");

    const std::set<ShardId> absent(coverage.missing.begin(), coverage.missing.end());
    auto counts = countDocuments(answer);
    for (const auto &shard : asked.shards) {
        const int expected = absent.contains(ShardId(shard)) ? 0 : asked.documentsPerShard;
        if (counts[shard] != expected)
            faults.emplace_back(expected == 0 ? "documents of a missing shard"
                                              : "covered shard without its documents");
    }
    const int shared = coverage.answered > 0 ? 1 : 0;
    if (counts[std::string(standins::sharedDocument)] != shared)
        faults.emplace_back("shared document not there once");
}

void checkOutcome(const Answer &answer, Faults &faults)
{
    const bool isWhole = answer.coverage.missing.empty();
    if (answer.outcome == Outcome::Answered && !isWhole)
        faults.emplace_back("answered with shards missing");
    if (answer.outcome == Outcome::Partial && isWhole)
        faults.emplace_back("partial with no shard missing");
    if (answer.ran == ExecutionState::NotRun && answer.coverage.answered > 0)
        faults.emplace_back("not run, with results");
}

} // namespace

std::vector<std::string> answerFaults(const QueryClass &asked, const Query &query,
                                      const Answer &answer)
{
    Faults faults;
    if (answer.outcome == Outcome::Refused || answer.outcome == Outcome::Unknown) {
        if (!answer.documents.empty())
            faults.emplace_back("documents without an answer");
        return faults;
    }
    checkDocuments(query, answer, faults);
    checkCoverage(asked, answer, faults);
    checkOutcome(answer, faults);
    return faults;
}

} // namespace oleander::bench
