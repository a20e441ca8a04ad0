#include <oleander/gateway/FleetSize.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Higher reported counts are treated as corrupt.
constexpr std::size_t maximumPlausibleCount = 100'000;
/// Several times the largest fleet. Names are kept until the process ends, and anyone can state
/// any.
constexpr std::size_t maximumKnownInstances = 8192;

} // namespace

void FleetSize::onBeacon(const InstanceId &instance)
{
    if (m_knownInstances.size() < maximumKnownInstances)
        m_knownInstances.insert(instance);
}

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
