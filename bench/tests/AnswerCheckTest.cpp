#include <oleander/bench/AnswerCheck.h>
#include <oleander/standins/StandinDocuments.h>

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::bench;

namespace {

constexpr SnapshotId snapshot(4);

struct AnswerCheckTest : ::testing::Test
{
    AnswerCheckTest()
    {
        asked.shards = {"s1", "s2"};
        query.payload = "q-17";
        answer.outcome = Outcome::Answered;
        answer.ran = ExecutionState::Ran;
        answer.snapshot = snapshot;
        answer.coverage = {2, 2, {}};
        addShard("s1");
        addShard("s2");
    }

    /// Adds a shard's documents, the shared one only once.
    void addShard(const std::string &shard)
    {
        for (auto &document : standins::documentsOf(ShardId(shard), snapshot, query.payload, {})) {
            const bool isShared = document.id.text() == standins::sharedDocument;
            if (!isShared || shard == "s1")
                answer.documents.push_back(std::move(document));
        }
    }

    void removeShard(const std::string &shard)
    {
        std::erase_if(answer.documents, [&](const Document &document) {
            return document.body.starts_with(shard + '@');
        });
    }

    std::vector<std::string> faults() const { return answerFaults(asked, query, answer); }

    QueryClass asked;
    Query query;
    Answer answer;
};

} // namespace

TEST_F(AnswerCheckTest, WholeAnswerIsTrue)
{
    EXPECT_TRUE(faults().empty());
}

TEST_F(AnswerCheckTest, TruthfulPartialIsTrue)
{
    removeShard("s2");
    answer.outcome = Outcome::Partial;
    answer.coverage = {2, 1, {ShardId("s2")}};
    EXPECT_TRUE(faults().empty());
}

TEST_F(AnswerCheckTest, MissingShardThatIsNotNamedIsSeen)
{
    removeShard("s2");
    EXPECT_FALSE(faults().empty());
}

TEST_F(AnswerCheckTest, CoveredShardThatIsCalledMissingIsSeen)
{
    answer.outcome = Outcome::Partial;
    answer.coverage = {2, 1, {ShardId("s2")}};
    EXPECT_FALSE(faults().empty());
}

TEST_F(AnswerCheckTest, DocumentTwiceIsSeen)
{
    answer.documents.push_back(answer.documents.front());
    EXPECT_FALSE(faults().empty());
}

TEST_F(AnswerCheckTest, DocumentOfAnotherSnapshotIsSeen)
{
    const auto other = standins::documentsOf(ShardId("s1"), SnapshotId(5), query.payload, {});
    answer.documents.front() = other.front();
    EXPECT_FALSE(faults().empty());
}

TEST_F(AnswerCheckTest, DocumentOfAnotherQueryIsSeen)
{
    const auto other = standins::documentsOf(ShardId("s1"), snapshot, "q-18", {});
    answer.documents.front() = other.front();
    EXPECT_FALSE(faults().empty());
}

TEST_F(AnswerCheckTest, OutcomeAgainstCoverageIsSeen)
{
    answer.outcome = Outcome::Partial;
    EXPECT_FALSE(faults().empty());
}

TEST_F(AnswerCheckTest, NotRunWithResultsIsSeen)
{
    answer.ran = ExecutionState::NotRun;
    EXPECT_FALSE(faults().empty());
}

TEST_F(AnswerCheckTest, RefusalWithDocumentsIsSeen)
{
    answer.outcome = Outcome::Refused;
    EXPECT_FALSE(faults().empty());
    answer.documents.clear();
    EXPECT_TRUE(faults().empty());
}
