#include <oleander/decisions/request/Merge.h>

#include <algorithm>
#include <cassert>
#include <string_view>
#include <unordered_set>

namespace oleander {

namespace {

bool ranksBefore(const Document &left, const Document &right)
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
    // Fails if the position is not in the plan that the state was created for.
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
    // Documents are large: pointers to them are sorted, and only the returned ones are moved.
    std::vector<Document *> pointers;
    std::size_t count = 0;
    for (const auto &part : state.parts)
        count += part.size();
    pointers.reserve(count);
    for (auto &part : state.parts) {
        for (Document &document : part)
            pointers.push_back(&document);
    }
    std::ranges::sort(pointers, [](const Document *left, const Document *right) {
        return ranksBefore(*left, *right);
    });

    std::unordered_set<std::string_view> seen;
    seen.reserve(count);
    std::vector<Document *> chosen;
    chosen.reserve(limit == 0 ? count : std::min(limit, count));
    for (Document *document : pointers) {
        if (limit != 0 && chosen.size() == limit)
            break;
        if (seen.insert(document->id.text()).second)
            chosen.push_back(document);
    }
    std::vector<Document> merged;
    merged.reserve(chosen.size());
    for (Document *document : chosen)
        merged.push_back(std::move(*document));
    return merged;
}

} // namespace oleander
