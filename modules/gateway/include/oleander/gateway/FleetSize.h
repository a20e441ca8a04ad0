#pragma once

#include <oleander/core/Ids.h>

#include <optional>
#include <unordered_set>

namespace oleander::gateway {

/// How many instances the fleet has, as far as this instance has heard.
///
/// What is shared by all instances, such as a server's connections, is divided by this number, so a
/// number that is too small is worse than one that is too large: instances that are silent or cut
/// off still use their part. The estimate therefore never falls.
class FleetSize
{
public:
    explicit FleetSize(const InstanceId &self) { m_heard.insert(self); }

    /// An instance was heard of directly.
    void hear(const InstanceId &instance) { m_heard.insert(instance); }
    /// Another instance says how many it has heard of.
    void report(std::size_t count);

    /// The instances heard of; one at least, which is this one.
    [[nodiscard]] std::size_t heardOf() const { return m_heard.size(); }
    /// The estimate; nothing while no other instance has been heard of.
    [[nodiscard]] std::optional<std::size_t> estimate() const;

private:
    std::unordered_set<InstanceId> m_heard;
    std::size_t m_greatestReport = 0;
};

} // namespace oleander::gateway
