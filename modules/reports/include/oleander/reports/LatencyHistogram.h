#pragma once

#include <oleander/core/Units.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace oleander {

/// Counts latencies in bins whose edges grow by a constant factor, so that histograms of several
/// daemons can be added up and the relative error of a quantile is the same everywhere.
///
/// There are eight bins for each doubling from 1/16 ms to 65.5 s; powers of two in milliseconds
/// are edges. Shorter and longer latencies have a bin each. A quantile is the upper edge of the bin
/// it falls into, hence at most 9.1 % too large. A value type; an unused one holds no bins.
class LatencyHistogram
{
public:
    LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &other);
    LatencyHistogram(LatencyHistogram &&other) noexcept;
    LatencyHistogram &operator=(const LatencyHistogram &other);
    LatencyHistogram &operator=(LatencyHistogram &&other) noexcept;
    ~LatencyHistogram();

    // Filling
    void add(Duration latency, std::uint64_t count = 1);
    void merge(const LatencyHistogram &other);
    /// Takes away what an earlier state of the same histogram had counted.
    void subtract(const LatencyHistogram &earlier);

    // Reading
    [[nodiscard]] std::uint64_t total() const;
    /// The latency that `share` (0 to 1) of the counts do not exceed; zero when there are none.
    [[nodiscard]] Duration quantile(double share) const;
    /// Counts by bin, shortest first; the first and last bin have no lower and upper end.
    [[nodiscard]] std::vector<std::uint64_t> counts() const;
    /// The reverse of counts(); nothing when the number of bins is another one.
    static std::optional<LatencyHistogram> fromCounts(const std::vector<std::uint64_t> &counts);

    // Bins
    /// Bins in counts(), both open ones included.
    static std::size_t binCount();
    /// The bin of a latency.
    static std::size_t binOf(Duration latency);
    /// Upper end of a bin; the last bin has its lower end here.
    static Duration upperEdge(std::size_t bin);

    bool operator==(const LatencyHistogram &other) const { return counts() == other.counts(); }

private:
    struct Bins;
    Bins &bins();
    std::unique_ptr<Bins> m_bins;
};

} // namespace oleander
