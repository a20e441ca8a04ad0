#pragma once

#include <cstdint>

namespace oleander {

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
