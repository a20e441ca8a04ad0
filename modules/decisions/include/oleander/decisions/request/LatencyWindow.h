#pragma once

#include <oleander/core/Units.h>

#include <cstdint>
#include <memory>

namespace oleander {

/// Quantiles of recent latencies of one service.
///
/// Samples fall into logarithmic buckets and older ones fade: when a generation is full, all counts
/// are halved. quantile() is cached and costs a search only after a share of new samples.
class LatencyWindow
{
public:
    LatencyWindow();
    ~LatencyWindow();
    LatencyWindow(LatencyWindow &&) noexcept;
    LatencyWindow &operator=(LatencyWindow &&) noexcept;

    void add(Duration latency);
    /// The latency that `share` of the recent samples do not exceed, or `fallback` when there are
    /// too few samples to tell.
    [[nodiscard]] Duration quantile(PerMille share, Duration fallback) const;
    /// The mean of the recent samples, or `fallback` when there are too few.
    [[nodiscard]] Duration mean(Duration fallback) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
