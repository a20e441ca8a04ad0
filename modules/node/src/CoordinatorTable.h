#pragma once

#include <oleander/core/FleetView.h>

#include <map>
#include <memory>
#include <vector>

namespace oleander {

/// The coordinators of each service by one view, computed once a view and not once a query.
///
/// How many coordinators a service has is looked up by backend and service alone, so that daemons
/// in different data centres and queries of different callers agree on it.
class CoordinatorTable
{
public:
    /// In falling preference. The reference holds until the next call with another view.
    const std::vector<InstanceId> &coordinatorsOf(const std::shared_ptr<const FleetView> &view,
                                                  const PartitionMap &map);

private:
    std::shared_ptr<const FleetView> m_view;
    std::map<ServiceId, std::vector<InstanceId>> m_coordinators;
};

/// The number of coordinators that a service has.
int coordinatorCount(const FleetView &view, const PartitionMap &map);

} // namespace oleander
