#include <oleander/core/FleetView.h>

#include <algorithm>

namespace oleander {

const Instance *findInstance(const InstanceList &list, const InstanceId &id)
{
    const auto found = std::ranges::lower_bound(list.instances, id, {}, &Instance::id);
    if (found == list.instances.end() || found->id != id)
        return nullptr;
    return &*found;
}

} // namespace oleander
