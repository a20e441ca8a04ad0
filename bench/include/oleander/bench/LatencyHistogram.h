#pragma once

#include <oleander/core/Units.h>

#include <cstdint>
#include <memory>

namespace oleander::bench {

/// Latencies in a Boost.Histogram with a logarithmic axis from 0.05 ms to 120 s, each bin 1 in 100
/// wide.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    void add(Duration latency);
    [[nodiscard]] std::uint64_t count() const;
    /// The latency that this share of all does not exceed; zero when there are none.
    [[nodiscard]] Duration quantile(PerMille share) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace oleander::bench
