#include <oleander/decisions/request/LatencyWindow.h>

#include <boost/histogram.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace oleander {

namespace {

namespace bh = boost::histogram;

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram =
    decltype(bh::make_histogram_with(std::vector<std::uint32_t>(), std::declval<LatencyAxis>()));

constexpr int bucketCount = 120;
constexpr double shortestMicroseconds = 50;
constexpr double longestMicroseconds = 30'000'000;
/// Number of samples after which the counts are halved.
constexpr std::uint64_t generationSize = 4096;
/// Minimum number of samples for a quantile or mean.
constexpr std::uint64_t samplesNeeded = 50;
/// Number of new samples after which a cached quantile is computed again.
constexpr std::uint64_t cacheLifetime = 64;

LatencyHistogram makeEmpty()
{
    return bh::make_histogram_with(
        std::vector<std::uint32_t>(),
        LatencyAxis(bucketCount, shortestMicroseconds, longestMicroseconds));
}

} // namespace

struct LatencyWindow::Impl
{
    LatencyHistogram histogram = makeEmpty();
    std::uint64_t samples = 0;
    std::uint64_t generation = 0;
    std::int64_t meanMicroseconds = 0;

    PerMille cachedShare{};
    Duration cachedQuantile{};
    std::uint64_t cacheSamplesLeft = 0;

    void halve()
    {
        samples = 0;
        for (auto &&cell : bh::indexed(histogram, bh::coverage::all)) {
            *cell = *cell / 2;
            samples += *cell;
        }
        generation = 0;
    }

    [[nodiscard]] Duration searchQuantile(PerMille share) const
    {
        const std::uint64_t targetCount = (samples * share.value + 999) / 1000;
        std::uint64_t counted = 0;
        double upper = shortestMicroseconds;
        for (auto &&cell : bh::indexed(histogram, bh::coverage::all)) {
            counted += *cell;
            upper = std::clamp(cell.bin().upper(), shortestMicroseconds, longestMicroseconds);
            if (counted >= targetCount)
                break;
        }
        return Duration(static_cast<std::int64_t>(upper));
    }
};

LatencyWindow::LatencyWindow()
    : m_impl(std::make_unique<Impl>())
{
}

LatencyWindow::~LatencyWindow() = default;
LatencyWindow::LatencyWindow(LatencyWindow &&) noexcept = default;
LatencyWindow &LatencyWindow::operator=(LatencyWindow &&) noexcept = default;

void LatencyWindow::add(Duration latency)
{
    Impl &impl = *m_impl;
    impl.histogram(static_cast<double>(std::max<std::int64_t>(latency.count(), 1)));
    ++impl.samples;
    ++impl.generation;
    if (impl.cacheSamplesLeft > 0)
        --impl.cacheSamplesLeft;
    const std::int64_t error = latency.count() - impl.meanMicroseconds;
    impl.meanMicroseconds += impl.meanMicroseconds == 0 ? error : error / 32;
    if (impl.generation >= generationSize)
        impl.halve();
}

Duration LatencyWindow::quantile(PerMille share, Duration fallback) const
{
    Impl &impl = *m_impl;
    if (impl.samples < samplesNeeded)
        return fallback;
    if (impl.cacheSamplesLeft == 0 || impl.cachedShare != share) {
        impl.cachedQuantile = impl.searchQuantile(share);
        impl.cachedShare = share;
        impl.cacheSamplesLeft = cacheLifetime;
    }
    return impl.cachedQuantile;
}

Duration LatencyWindow::mean(Duration fallback) const
{
    if (m_impl->samples < samplesNeeded)
        return fallback;
    return Duration(m_impl->meanMicroseconds);
}

} // namespace oleander
