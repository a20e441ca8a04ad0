#include <oleander/gateway/FleetSize.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Higher reported counts are treated as corrupt.
constexpr std::size_t maximumPlausibleCount = 100'000;

} // namespace

void FleetSize::addReportedCount(std::size_t count)
{
    if (count <= maximumPlausibleCount)
        m_highestReportedCount = std::max(m_highestReportedCount, count);
}

std::optional<std::size_t> FleetSize::estimate() const
{
    const std::size_t count = std::max(m_knownInstances.size(), m_highestReportedCount);
    if (count < 2)
        return std::nullopt;
    return count;
}

} // namespace oleander::gateway
