#include <oleander/decisions/control/CoordinatorChoice.h>

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace oleander {

namespace {

/// An instance, its score, and the number of instances of its data centre that rank higher.
struct Candidate
{
    const Instance *instance;
    std::uint64_t score;
    int placeInDataCentre;
};

bool hasHigherScore(const Candidate &left, const Candidate &right)
{
    if (left.score != right.score)
        return left.score > right.score;
    return left.instance->id < right.instance->id;
}

bool isPreferred(const Candidate &left, const Candidate &right)
{
    if (left.placeInDataCentre != right.placeInDataCentre)
        return left.placeInDataCentre < right.placeInDataCentre;
    return hasHigherScore(left, right);
}

void rank(std::vector<Candidate> &candidates)
{
    std::ranges::sort(candidates, hasHigherScore);
    std::map<std::string_view, int> taken;
    for (Candidate &candidate : candidates)
        candidate.placeInDataCentre = taken[candidate.instance->dataCentre.text()]++;
    std::ranges::sort(candidates, isPreferred);
}

std::vector<Candidate> rankedCandidates(const ServiceId &service, const InstanceList &list,
                                        const InstanceId &alwaysIncluded)
{
    std::vector<Candidate> candidates;
    candidates.reserve(list.instances.size());
    for (const Instance &instance : list.instances) {
        if (instance.isLeaving && instance.id != alwaysIncluded)
            continue;
        const auto score = rendezvousScore(service.text(), instance.id.text());
        candidates.push_back({&instance, score, 0});
    }
    rank(candidates);
    return candidates;
}

bool isAmongFirst(const std::vector<Candidate> &candidates, int count, const InstanceId &id)
{
    const auto end = candidates.begin() + std::min<std::ptrdiff_t>(count, std::ssize(candidates));
    return std::any_of(candidates.begin(), end,
                       [&](const Candidate &candidate) { return candidate.instance->id == id; });
}

/// Removes the candidate that ranks directly above `id` in the same data centre.
void removePredecessor(std::vector<Candidate> &candidates, const InstanceId &id)
{
    const auto self = std::ranges::find_if(
        candidates, [&](const Candidate &candidate) { return candidate.instance->id == id; });
    if (self == candidates.end())
        return;
    const DataCentreId &dataCentre = self->instance->dataCentre;
    const int place = self->placeInDataCentre - 1;
    std::erase_if(candidates, [&](const Candidate &candidate) {
        return candidate.placeInDataCentre == place && candidate.instance->dataCentre == dataCentre;
    });
}

std::vector<InstanceId> firstIds(const std::vector<Candidate> &candidates, int count)
{
    std::vector<InstanceId> chosen;
    for (const Candidate &candidate : candidates) {
        if (static_cast<int>(chosen.size()) >= count)
            break;
        chosen.push_back(candidate.instance->id);
    }
    return chosen;
}

} // namespace

std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<InstanceId> coordinatorsFor(const ServiceId &service, const InstanceList &list, int k)
{
    return firstIds(rankedCandidates(service, list, InstanceId{}), k);
}

std::vector<InstanceId> coordinatorOrder(const std::vector<InstanceId> &coordinators,
                                         std::uint64_t key)
{
    struct Scored
    {
        std::uint64_t score;
        const InstanceId *id;
    };
    std::vector<Scored> scored;
    scored.reserve(coordinators.size());
    for (const InstanceId &id : coordinators)
        scored.push_back({XXH3_64bits_withSeed(id.text().data(), id.text().size(), key), &id});
    std::ranges::sort(scored, [](const Scored &left, const Scored &right) {
        return left.score != right.score ? left.score > right.score : *left.id < *right.id;
    });
    std::vector<InstanceId> order;
    order.reserve(scored.size());
    for (const Scored &entry : scored)
        order.push_back(*entry.id);
    return order;
}

bool isCoordinator(const ServiceId &service, const InstanceList &list, int k,
                   const InstanceId &self)
{
    auto candidates = rankedCandidates(service, list, self);
    if (isAmongFirst(candidates, k + 1, self))
        return true;
    removePredecessor(candidates, self);
    rank(candidates);
    return isAmongFirst(candidates, k, self);
}

} // namespace oleander
