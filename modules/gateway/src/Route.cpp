#include <oleander/gateway/Route.h>

#include <algorithm>
#include <cmath>

namespace oleander::gateway {

namespace {

/// Prevents floating-point errors from rounding an exact number up, for example 0.85 * 20 to 18.
constexpr double roundingTolerance = 1e-9;

} // namespace

std::size_t requiredShards(const Route &route)
{
    const double exact = route.minimumShare * static_cast<double>(route.shards.size());
    const auto rounded = static_cast<std::size_t>(std::ceil(exact - roundingTolerance));
    return std::clamp<std::size_t>(rounded, 1, std::max<std::size_t>(route.shards.size(), 1));
}

} // namespace oleander::gateway
