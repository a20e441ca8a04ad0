#pragma once

#include <cstdint>

namespace oleander {

/// Maps 64 random bits to a number in [0, 1].
[[nodiscard]] inline double unitInterval(std::uint64_t random)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(random) / range;
}

/// Source of random numbers. With a fixed seed, tests and simulations are reproducible.
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /// A uniformly distributed 64-bit number.
    virtual std::uint64_t next() = 0;

    /// A random number in [0, bound). The bound must not be zero.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
};

} // namespace oleander
