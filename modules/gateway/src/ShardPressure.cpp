#include <oleander/gateway/ShardPressure.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Rise of the share with a late part.
constexpr double riseStep = 0.0;
/// Share of late parts at which the pressure stands still.
constexpr double toleratedLateShare = 0.15;
constexpr double fallStep = riseStep * toleratedLateShare / (1 - toleratedLateShare);
/// The rest keeps asking, and so learns when the shard has recovered.
constexpr double greatestShare = 0.9;

} // namespace

void notePart(ShardPressure &pressure, bool isSoon)
{
    const double step = isSoon ? -fallStep : riseStep;
    pressure.skipShare = std::clamp(pressure.skipShare + step, 0.0, greatestShare);
}

std::vector<std::size_t> chooseSkipped(std::span<const double> skipShares,
                                       std::span<const double> randoms, std::size_t allowed)
{
    std::vector<std::size_t> skipped;
    for (std::size_t shard = 0; shard < skipShares.size(); ++shard) {
        if (randoms[shard] < skipShares[shard])
            skipped.push_back(shard);
    }
    std::ranges::sort(skipped, [&](std::size_t left, std::size_t right) {
        return skipShares[left] > skipShares[right];
    });
    if (skipped.size() > allowed)
        skipped.resize(allowed);
    return skipped;
}

} // namespace oleander::gateway
