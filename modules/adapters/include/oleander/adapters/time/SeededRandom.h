#pragma once

#include <oleander/ports/RandomSource.h>

#include <cstdint>
#include <random>

namespace oleander {

/// Random numbers of the standard library's 64-bit Mersenne twister. Not for secrets.
class SeededRandom final : public RandomSource
{
public:
    /// The same seed gives the same numbers.
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Seeded by the operating system.
    static SeededRandom unpredictable();

    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace oleander
