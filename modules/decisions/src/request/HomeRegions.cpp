#include <oleander/decisions/request/HomeRegions.h>

#include <algorithm>
#include <string_view>

namespace oleander {

bool isInHomeRegions(std::span<const std::string> regions, const DataCentreId &dataCentre)
{
    const std::string_view name = dataCentre.text();
    return regions.empty() || std::ranges::any_of(regions, [name](std::string_view region) {
               return name.starts_with(region)
                      && (name.size() == region.size() || name[region.size()] == '-');
           });
}

} // namespace oleander
