#pragma once

#include <oleander/gateway/Registry.h>

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleander::gateway {

/// The registry as this instance knows it, so that it can tell other instances.
///
/// Holds the items that matter, each with the revision at which it was last known to change, and
/// the keys that are gone. Renewals that change nothing of what an item says are not to be noted:
/// they are most of the registry's traffic.
class RegistryCopy
{
public:
    /// Whether two items of one key say the same, renewals apart.
    using SameMeaning = std::function<bool(const RegistryItem &held, const RegistryItem &given)>;

    /// The whole content of the registry at a revision: what is not in it is gone, and what says
    /// the same as before has not changed.
    void replaceAll(const std::vector<RegistryItem> &items, RegistryRevision revision,
                    const SameMeaning &isSame);
    /// An item that changed or is gone, at a revision at the latest.
    void note(const RegistryItem &item, RegistryRevision revision);

    /// True when the copy has an item of this key.
    [[nodiscard]] bool holds(const std::string &key) const;
    /// Revision of the latest change that was noted.
    [[nodiscard]] RegistryRevision revision() const { return m_revision; }
    /// True once replaceAll() was called.
    [[nodiscard]] bool isWhole() const { return m_isWhole; }
    /// All items that are there.
    [[nodiscard]] std::vector<RegistryItem> items() const;
    /// What changed after a revision; nothing when that is not known any more.
    [[nodiscard]] std::optional<std::vector<RegistryItem>> since(RegistryRevision revision) const;

    /// Keys that are gone beyond this number are forgotten, with all history.
    static constexpr std::size_t mostRemovals = 4096;

private:
    struct Entry
    {
        RegistryItem item;
        RegistryRevision changed = 0;
    };

    std::unordered_map<std::string, Entry> m_entries;
    std::size_t m_removals = 0;
    RegistryRevision m_revision = 0;
    /// Changes up to this revision may be missing.
    RegistryRevision m_knownFrom = 0;
    bool m_isWhole = false;
};

} // namespace oleander::gateway
