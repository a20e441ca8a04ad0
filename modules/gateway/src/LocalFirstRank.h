#pragma once

#include <cstdint>

namespace oleander::gateway {

/// Rank for sorting by preference: entries in the own data centre come first. The hash distributes
/// instances over entries of equal distance; only its upper 63 bits are used.
[[nodiscard]] inline std::uint64_t localFirstRank(std::uint64_t hash, bool isLocal)
{
    constexpr std::uint64_t remoteBit = std::uint64_t{1} << 63;
    const std::uint64_t rank = hash >> 1;
    return isLocal ? rank : rank | remoteBit;
}

} // namespace oleander::gateway
