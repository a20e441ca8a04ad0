#include <oleander/reports/LatencyHistogram.h>

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oleander {

namespace {

namespace bh = boost::histogram;

constexpr double shortestMs = 1.0 / 16;
constexpr double longestMs = 65536;
constexpr unsigned doublings = 20;
constexpr unsigned binsEachDoubling = 8;
constexpr unsigned innerBins = doublings * binsEachDoubling;
/// Latencies are whole microseconds; half of one keeps the edges clear of rounding errors.
constexpr double halfMicrosecondMs = 0.0005;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint64_t>>;

const Axis &sharedAxis()
{
    static const Axis axis(innerBins, shortestMs, longestMs);
    return axis;
}

/// An upper edge belongs to its bin, since an objective is met by a latency equal to it.
double axisValue(Duration latency)
{
    return std::max(inMilliseconds(latency) - halfMicrosecondMs, 0.0);
}

} // namespace

struct LatencyHistogram::Bins
{
    Histogram histogram{std::make_tuple(sharedAxis())};
};

LatencyHistogram::LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&other) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&other) noexcept = default;
LatencyHistogram::~LatencyHistogram() = default;

LatencyHistogram::LatencyHistogram(const LatencyHistogram &other)
    : m_bins(other.m_bins ? std::make_unique<Bins>(*other.m_bins) : nullptr)
{
}

LatencyHistogram &LatencyHistogram::operator=(const LatencyHistogram &other)
{
    LatencyHistogram copy(other);
    std::swap(m_bins, copy.m_bins);
    return *this;
}

void LatencyHistogram::add(Duration latency, std::uint64_t count)
{
    bins().histogram(axisValue(latency), bh::weight(count));
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    if (other.m_bins)
        bins().histogram += other.m_bins->histogram;
}

void LatencyHistogram::subtract(const LatencyHistogram &earlier)
{
    if (!earlier.m_bins)
        return;
    Histogram &mine = bins().histogram;
    for (int index = -1; index <= static_cast<int>(innerBins); ++index)
        mine.at(index) -= earlier.m_bins->histogram.at(index);
}

std::uint64_t LatencyHistogram::total() const
{
    if (!m_bins)
        return 0;
    const Histogram &histogram = m_bins->histogram;
    return std::accumulate(histogram.begin(), histogram.end(), std::uint64_t{0});
}

Duration LatencyHistogram::quantile(double share) const
{
    const std::vector<std::uint64_t> all = counts();
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total())));
    std::uint64_t seen = 0;
    for (std::size_t bin = 0; bin < all.size(); ++bin) {
        seen += all[bin];
        if (seen > 0 && seen >= wanted)
            return upperEdge(bin);
    }
    return {};
}

std::vector<std::uint64_t> LatencyHistogram::counts() const
{
    std::vector<std::uint64_t> result(binCount(), 0);
    if (!m_bins)
        return result;
    for (std::size_t bin = 0; bin < result.size(); ++bin)
        result[bin] = m_bins->histogram.at(static_cast<int>(bin) - 1);
    return result;
}

std::optional<LatencyHistogram>
LatencyHistogram::fromCounts(const std::vector<std::uint64_t> &counts)
{
    if (counts.size() != binCount())
        return std::nullopt;
    LatencyHistogram result;
    for (std::size_t bin = 0; bin < counts.size(); ++bin) {
        if (counts[bin] > 0)
            result.bins().histogram.at(static_cast<int>(bin) - 1) = counts[bin];
    }
    return result;
}

std::size_t LatencyHistogram::binCount()
{
    return innerBins + 2;
}

std::size_t LatencyHistogram::binOf(Duration latency)
{
    const int bin = sharedAxis().index(axisValue(latency)) + 1;
    return static_cast<std::size_t>(bin);
}

Duration LatencyHistogram::upperEdge(std::size_t bin)
{
    const auto edge = static_cast<double>(std::min<std::size_t>(bin, innerBins));
    const double inMs = shortestMs * std::exp2(edge / binsEachDoubling);
    return Duration(static_cast<std::int64_t>(inMs * 1000));
}

LatencyHistogram::Bins &LatencyHistogram::bins()
{
    if (!m_bins)
        m_bins = std::make_unique<Bins>();
    return *m_bins;
}

} // namespace oleander
