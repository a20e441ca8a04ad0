#include <oleander/gateway/FleetSize.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Larger reports are taken for damaged.
constexpr std::size_t largestFleet = 100'000;

} // namespace

void FleetSize::report(std::size_t count)
{
    if (count <= largestFleet)
        m_greatestReport = std::max(m_greatestReport, count);
}

std::optional<std::size_t> FleetSize::estimate() const
{
    const std::size_t count = std::max(m_heard.size(), m_greatestReport);
    if (count < 2)
        return std::nullopt;
    return count;
}

} // namespace oleander::gateway
