#pragma once

#include <oleander/core/Units.h>

#include <cstdint>
#include <memory>

namespace oleander {

/// Quantiles and mean of the recent latencies of one service.
///
/// Samples are counted in logarithmic buckets. After a fixed number of samples all counts are
/// halved, so that older samples lose weight. quantile() caches its result and searches the
/// histogram again only after a number of new samples.
class LatencyWindow
{
public:
    LatencyWindow();
    ~LatencyWindow();
    LatencyWindow(LatencyWindow &&) noexcept;
    LatencyWindow &operator=(LatencyWindow &&) noexcept;

    void add(Duration latency);
    /// The latency that `share` of the recent samples do not exceed, or `fallback` when there are
    /// too few samples.
    [[nodiscard]] Duration quantile(PerMille share, Duration fallback) const;
    /// The mean of the recent samples, or `fallback` when there are too few samples.
    [[nodiscard]] Duration mean(Duration fallback) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
