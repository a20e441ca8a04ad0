#pragma once

#include <oleander/core/Query.h>
#include <oleander/decisions/request/Plan.h>

#include <vector>

namespace oleander {

/// The documents of each shard of a plan, as far as they have arrived.
struct MergeState
{
    std::vector<std::vector<Document>> parts;
    /// Whether the shard at this position of the plan has answered.
    std::vector<bool> answered;
    int answeredCount = 0;
};

/// The state of a plan before any shard has answered.
MergeState startMerge(const QueryPlan &plan);

/// Adds the documents of the shard at `position` of the plan. If the shard has already answered,
/// drops them and returns false.
bool addPart(MergeState &state, std::size_t position, std::vector<Document> documents);

/// How many of the shards of the plan have answered, and which have not.
Coverage coverageOf(const QueryPlan &plan, const MergeState &state);

/// Merges the documents, sorted by descending score, then ascending id. Of documents with the same
/// id only the one with the highest score is kept. A limit of zero means no limit.
std::vector<Document> mergedDocuments(MergeState state, std::size_t limit);

} // namespace oleander
