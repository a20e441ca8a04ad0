#include <oleander/decisions/request/Merge.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <string_view>
#include <unordered_set>

namespace oleander {

namespace {

bool goesBefore(const Document &left, const Document &right)
{
    if (left.score != right.score)
        return left.score > right.score;
    return left.id < right.id;
}

} // namespace

MergeState startMerge(const QueryPlan &plan)
{
    MergeState state;
    state.parts.resize(plan.shards.size());
    state.answered.resize(plan.shards.size(), false);
    return state;
}

bool addPart(MergeState &state, std::size_t position, std::vector<Document> documents)
{
    // The caller passed a position that is not in the plan of this state.
    assert(position < state.parts.size());
    if (state.answered[position])
        return false;
    state.parts[position] = std::move(documents);
    state.answered[position] = true;
    ++state.answeredCount;
    return true;
}

Coverage coverageOf(const QueryPlan &plan, const MergeState &state)
{
    Coverage coverage;
    coverage.asked = static_cast<int>(plan.shards.size());
    coverage.answered = state.answeredCount;
    for (std::size_t position = 0; position < plan.shards.size(); ++position) {
        if (!state.answered[position])
            coverage.missing.push_back(plan.map->shards[plan.shards[position]].id);
    }
    return coverage;
}

std::vector<Document> mergedDocuments(MergeState state, std::size_t limit)
{
    std::vector<Document> all;
    std::size_t count = 0;
    for (const auto &part : state.parts)
        count += part.size();
    all.reserve(count);
    for (auto &part : state.parts)
        std::ranges::move(part, std::back_inserter(all));
    std::ranges::sort(all, goesBefore);

    std::unordered_set<std::string> seen;
    seen.reserve(all.size());
    std::vector<Document> merged;
    merged.reserve(all.size());
    for (Document &document : all) {
        if (limit != 0 && merged.size() == limit)
            break;
        if (seen.insert(document.id.text()).second)
            merged.push_back(std::move(document));
    }
    return merged;
}

} // namespace oleander
