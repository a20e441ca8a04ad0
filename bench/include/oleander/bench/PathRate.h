#pragma once

#include <oleander/core/Units.h>

#include <cstdint>

namespace oleander::bench {

/// What one client thread reached in one run.
struct PathRate
{
    std::uint64_t exchanges = 0;
    Duration wall{};
    /// Processor time of the client thread.
    Duration processor{};

    /// Exchanges a second of wall time.
    [[nodiscard]] double perSecond() const;
    /// Microseconds of processor time an exchange.
    [[nodiscard]] double processorMicros() const;
};

/// Processor time of the calling thread so far.
Duration threadProcessorTime();

} // namespace oleander::bench
