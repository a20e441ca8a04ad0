#pragma once

#include <oleander/core/FleetView.h>

#include <map>
#include <memory>
#include <vector>

namespace oleander {

/// Caches the coordinators of each service for one view, so that they are computed once per view
/// and not once per query.
///
/// The number of coordinators of a service is looked up by backend and service only, so that
/// daemons in different data centres and queries of different callers get the same number.
class CoordinatorTable
{
public:
    /// The coordinators of the map's service, most preferred first. The reference is valid until
    /// the next call with a different view.
    const std::vector<InstanceId> &coordinatorsOf(const std::shared_ptr<const FleetView> &view,
                                                  const PartitionMap &map);

private:
    std::shared_ptr<const FleetView> m_view;
    std::map<ServiceId, std::vector<InstanceId>> m_coordinators;
};

/// The number of coordinators of the map's service.
int coordinatorCount(const FleetView &view, const PartitionMap &map);

} // namespace oleander
