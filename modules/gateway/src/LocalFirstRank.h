#pragma once

#include <cstdint>

namespace oleander::gateway {

/// Rank of an entry in an order that lists the own data centre first. The hash spreads
/// instances over those that are equally near; only its upper 63 bits count.
[[nodiscard]] inline std::uint64_t localFirstRank(std::uint64_t hash, bool isLocal)
{
    constexpr std::uint64_t remoteBit = std::uint64_t{1} << 63;
    const std::uint64_t rank = hash >> 1;
    return isLocal ? rank : rank | remoteBit;
}

} // namespace oleander::gateway
