#include <oleander/core/FleetView.h>

#include <algorithm>

namespace oleander {

const Instance *findInstance(const InstanceList &list, const InstanceId &id)
{
    const auto found = std::ranges::find(list.instances, id, &Instance::id);
    return found == list.instances.end() ? nullptr : &*found;
}

} // namespace oleander
