#include <oleander/gateway/Route.h>

#include <algorithm>
#include <cmath>

namespace oleander::gateway {

namespace {

/// Keeps a share such as 0.85 of 20 from being rounded up for the last digit of a double.
constexpr double roundingSlack = 1e-9;

} // namespace

std::size_t requiredShards(const Route &route)
{
    const double wanted = route.minimumShare * static_cast<double>(route.shards.size());
    const auto whole = static_cast<std::size_t>(std::ceil(wanted - roundingSlack));
    return std::clamp<std::size_t>(whole, 1, std::max<std::size_t>(route.shards.size(), 1));
}

} // namespace oleander::gateway
