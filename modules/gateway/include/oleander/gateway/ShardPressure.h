#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace oleander::gateway {

/// How overloaded a shard is for the requests of one route, as a share of them that had better not
/// ask it.
///
/// A shard whose servers are lost or slow gets more than it can do, and then all its parts come too
/// late. Asking it less often keeps the rest in time. The share rises with each late part and falls
/// with each one in time, so that about `toleratedLateShare` of the parts stay late.
struct ShardPressure
{
    double skipShare = 0;
};

/// A shard was asked; its part came soon enough, or late or not at all.
void notePart(ShardPressure &pressure, bool isSoon);

/// Which of the shards a request does not ask, by index: each with the probability of its share, no
/// more than `allowed`, those with the greatest shares first. `randoms` holds one number from 0 to
/// 1 for each shard.
[[nodiscard]] std::vector<std::size_t> chooseSkipped(std::span<const double> skipShares,
                                                     std::span<const double> randoms,
                                                     std::size_t allowed);

} // namespace oleander::gateway
