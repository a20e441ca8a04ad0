#pragma once

#include <oleander/core/Units.h>

namespace oleander::gateway {

[[nodiscard]] inline double ratio(Duration part, Duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace oleander::gateway
