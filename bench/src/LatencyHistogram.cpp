#include <oleander/bench/LatencyHistogram.h>

#include <boost/histogram.hpp>

namespace oleander::bench {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned binCount = 1470;
constexpr double firstMicros = 50;
constexpr double lastMicros = 120e6;

} // namespace

struct LatencyHistogram::State
{
    using Histogram = decltype(bh::make_histogram(LogAxis(binCount, firstMicros, lastMicros)));

    Histogram histogram = bh::make_histogram(LogAxis(binCount, firstMicros, lastMicros));
    std::uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_state(std::make_unique<State>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::add(Duration latency)
{
    m_state->histogram(static_cast<double>(latency.count()));
    ++m_state->count;
}

std::uint64_t LatencyHistogram::count() const
{
    return m_state->count;
}

Duration LatencyHistogram::quantile(PerMille share) const
{
    constexpr double whole = 1000;
    const double wanted = static_cast<double>(m_state->count) * share.value / whole;
    double passed = 0;
    for (const auto &bin : bh::indexed(m_state->histogram, bh::coverage::all)) {
        passed += static_cast<double>(*bin);
        if (passed >= wanted && passed > 0)
            return Duration(static_cast<Duration::rep>(std::min(bin.bin(0).upper(), lastMicros)));
    }
    return Duration{};
}

} // namespace oleander::bench
