#pragma once

#include <oleander/core/Ids.h>

#include <span>
#include <string>

namespace oleander {

/// Whether a request that must stay within these regions may reach a server in the data centre. A
/// region is a data centre, or all whose names begin with the region's and a hyphen. Without
/// regions a request may go anywhere.
[[nodiscard]] bool isInHomeRegions(std::span<const std::string> regions,
                                   const DataCentreId &dataCentre);

} // namespace oleander
