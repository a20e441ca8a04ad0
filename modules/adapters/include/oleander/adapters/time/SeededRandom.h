#pragma once

#include <oleander/ports/RandomSource.h>

#include <cstdint>
#include <random>

namespace oleander {

/// Random numbers from the standard library's 64-bit Mersenne Twister. Not cryptographically
/// secure.
class SeededRandom final : public RandomSource
{
public:
    /// The same seed gives the same sequence of numbers.
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Creates a generator seeded with random bits from the operating system.
    static SeededRandom unpredictable();

    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace oleander
