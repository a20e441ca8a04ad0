#include "CoordinatorTable.h"

#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/settings/PolicyFor.h>

namespace oleander {

const std::vector<InstanceId> &
CoordinatorTable::coordinatorsOf(const std::shared_ptr<const FleetView> &view,
                                 const PartitionMap &map)
{
    if (view != m_view) {
        m_view = view;
        m_coordinators.clear();
    }
    const auto known = m_coordinators.find(map.service);
    if (known != m_coordinators.end())
        return known->second;
    return m_coordinators[map.service] =
               coordinatorsFor(map.service, *view->instances, coordinatorCount(*view, map));
}

int coordinatorCount(const FleetView &view, const PartitionMap &map)
{
    const Subject subject{map.backend, map.service, CallerId{}, DataCentreId{}, InstanceId{}};
    return policyFor(*view.policies, subject).coordinators;
}

} // namespace oleander
