#pragma once

#include <oleander/core/Units.h>
#include <oleander/ports/RandomSource.h>

#include <random>

namespace oleander::fakes {

/// Pseudo-random numbers. The same seed gives the same sequence.
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::uint64_t next() override { return m_engine(); }
    /// True with a probability of `perThousand` / 1000.
    bool chance(std::uint64_t perThousand) { return below(1000) < perThousand; }
    /// Uniformly distributed from `least` to `most`, in whole microseconds.
    Duration between(Duration least, Duration most)
    {
        const auto width = static_cast<std::uint64_t>((most - least).count()) + 1;
        return least + Duration(below(width));
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace oleander::fakes
