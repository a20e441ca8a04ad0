#pragma once

#include <cstdint>

namespace oleander {

/// A number of 64 random bits as one in [0, 1].
[[nodiscard]] inline double unitInterval(std::uint64_t random)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(random) / range;
}

/// Random numbers; a seeded one makes a session repeatable.
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /// A uniformly distributed 64-bit number.
    virtual std::uint64_t next() = 0;

    /// Uniform in [0, bound). The bound must not be zero.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
};

} // namespace oleander
