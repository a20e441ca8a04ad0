#pragma once

#include <cstdint>

namespace oleander::gateway {

/// A place in an order that has what stands in the own data centre first. The hash spreads
/// instances over those that are equally near; only its upper 63 bits count.
[[nodiscard]] inline std::uint64_t placeNearFirst(std::uint64_t hash, bool isNear)
{
    constexpr std::uint64_t farAway = std::uint64_t{1} << 63;
    const std::uint64_t place = hash >> 1;
    return isNear ? place : place | farAway;
}

} // namespace oleander::gateway
