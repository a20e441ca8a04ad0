#include <oleander/decisions/request/Merge.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace oleander;

namespace {

QueryPlan planOf(std::size_t shards)
{
    auto map = std::make_shared<PartitionMap>();
    QueryPlan plan;
    for (std::size_t index = 0; index < shards; ++index) {
        map->shards.push_back({ShardId("shard-" + std::to_string(index)), {}, {}, {}});
        plan.shards.push_back(index);
    }
    plan.map = map;
    return plan;
}

/// Documents with few distinct ids, so that shards return the same ids, as during a shard split.
std::vector<Document> arbitraryDocuments()
{
    const auto ids = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
    std::vector<Document> documents;
    for (const int id : ids) {
        const auto score = static_cast<double>(*rc::gen::inRange(0, 5));
        documents.push_back({DocumentId(std::to_string(id)), score, "body"});
    }
    return documents;
}

} // namespace

RC_GTEST_PROP(Merge, DocumentsAreUniqueAndCoverageCountsAnsweredShards, ())
{
    const auto shards = *rc::gen::inRange<std::size_t>(1, 12);
    const QueryPlan plan = planOf(shards);
    MergeState state = startMerge(plan);
    std::set<std::size_t> answered;
    std::set<DocumentId> expected;
    const auto arrivals =
        *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, shards));
    for (const std::size_t position : arrivals) {
        const auto documents = arbitraryDocuments();
        const bool isFirst = answered.insert(position).second;
        RC_ASSERT(addPart(state, position, documents) == isFirst);
        for (const Document &document : documents) {
            if (isFirst)
                expected.insert(document.id);
        }
    }
    const Coverage coverage = coverageOf(plan, state);
    RC_ASSERT(coverage.asked == static_cast<int>(shards));
    RC_ASSERT(coverage.answered == static_cast<int>(answered.size()));
    RC_ASSERT(coverage.missing.size() == shards - answered.size());
    for (const ShardId &missing : coverage.missing)
        RC_ASSERT(!answered.contains(std::stoul(missing.text().substr(6))));

    const auto merged = mergedDocuments(state, 0);
    std::set<DocumentId> found;
    for (const Document &document : merged)
        RC_ASSERT(found.insert(document.id).second);
    RC_ASSERT(found == expected);
}

RC_GTEST_PROP(Merge, KeepsBestDocumentsRegardlessOfArrivalOrder, ())
{
    const auto shards = *rc::gen::inRange<std::size_t>(1, 6);
    const auto limit = *rc::gen::inRange<std::size_t>(1, 20);
    const QueryPlan plan = planOf(shards);
    MergeState forward = startMerge(plan);
    MergeState backward = startMerge(plan);
    std::vector<std::vector<Document>> parts;
    for (std::size_t position = 0; position < shards; ++position)
        parts.push_back(arbitraryDocuments());
    for (std::size_t position = 0; position < shards; ++position) {
        addPart(forward, position, parts[position]);
        addPart(backward, shards - 1 - position, parts[shards - 1 - position]);
    }
    const auto all = mergedDocuments(forward, 0);
    const auto limited = mergedDocuments(backward, limit);
    RC_ASSERT(limited.size() == std::min(limit, all.size()));
    RC_ASSERT(std::equal(limited.begin(), limited.end(), all.begin()));
    for (std::size_t index = 1; index < all.size(); ++index)
        RC_ASSERT(all[index - 1].score >= all[index].score);
}
