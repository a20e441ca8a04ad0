#include <oleander/decisions/request/ReplicaChoice.h>

#include <algorithm>
#include <tuple>

namespace oleander {

namespace {

/// Latencies in the same band compare as equal. There are two bands for each doubling.
constexpr std::int64_t bandsPerDoubling = 2;

std::int64_t latencyBand(std::int64_t microseconds)
{
    std::int64_t band = 0;
    std::int64_t scaled = microseconds;
    while (scaled > 1) {
        scaled /= 2;
        band += bandsPerDoubling;
    }
    const bool isUpperHalf = scaled == 1 && microseconds >= (std::int64_t{3} << (band / 2)) / 2;
    return band + (isUpperHalf ? 1 : 0);
}

std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    return value;
}

auto rank(const ReplicaCandidate &candidate, std::uint64_t tieBreak)
{
    const int load = candidate.inFlight * 1000 / std::max(1, candidate.concurrencyLimit);
    return std::make_tuple(load, !candidate.isInSameDataCentre, latencyBand(candidate.latency),
                           candidate.reportedLoad, mixBits(tieBreak + candidate.index));
}

} // namespace

std::optional<std::size_t> chooseReplica(std::span<const ReplicaCandidate> candidates,
                                         std::uint64_t tieBreak)
{
    const ReplicaCandidate *best = nullptr;
    for (const ReplicaCandidate &candidate : candidates) {
        if (candidate.inFlight >= candidate.concurrencyLimit)
            continue;
        if (!best || rank(candidate, tieBreak) < rank(*best, tieBreak))
            best = &candidate;
    }
    if (!best)
        return std::nullopt;
    return best->index;
}

} // namespace oleander
