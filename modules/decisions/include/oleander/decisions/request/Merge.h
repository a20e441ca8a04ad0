#pragma once

#include <oleander/core/Query.h>
#include <oleander/decisions/request/Plan.h>

#include <vector>

namespace oleander {

/// The parts of an answer that have arrived, one for each shard of a plan.
struct MergeState
{
    std::vector<std::vector<Document>> parts;
    /// Whether the shard at the same position of the plan has answered.
    std::vector<bool> answered;
    int answeredCount = 0;
};

/// An empty state for a plan.
MergeState startMerge(const QueryPlan &plan);

/// Adds the documents of the shard at `position` of the plan. A second part for the same shard is
/// dropped and the result is false.
bool addPart(MergeState &state, std::size_t position, std::vector<Document> documents);

/// Coverage against the pinned map: shards answered of shards asked.
Coverage coverageOf(const QueryPlan &plan, const MergeState &state);

/// All documents by falling score, then rising id, each id once with its highest score. A limit of
/// zero means all.
std::vector<Document> mergedDocuments(MergeState state, std::size_t limit);

} // namespace oleander
