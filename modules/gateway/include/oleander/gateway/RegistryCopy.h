#pragma once

#include <oleander/gateway/Registry.h>

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleander::gateway {

/// A local copy of the registry, from which other instances are answered.
///
/// Stores each item with the revision of its last known change, and tombstones for removed keys.
/// Lease renewals that do not change an item's content must not be passed to note(): they are most
/// of the registry's traffic.
class RegistryCopy
{
public:
    /// Returns true if two items of the same key have equal content apart from lease renewals.
    using Equivalence = std::function<bool(const RegistryItem &held, const RegistryItem &given)>;

    /// Replaces the content with that of the registry at a revision. Missing items are marked as
    /// removed, and equivalent items keep their revision.
    void replaceAll(const std::vector<RegistryItem> &items, RegistryRevision revision,
                    const Equivalence &isEquivalent);
    /// Stores an item that was changed or removed at `revision` or earlier.
    void note(const RegistryItem &item, RegistryRevision revision);

    /// Returns true if the copy contains an item of this key.
    [[nodiscard]] bool holds(const std::string &key) const;
    /// Revision of the latest change.
    [[nodiscard]] RegistryRevision revision() const { return m_revision; }
    /// Returns true once replaceAll() was called.
    [[nodiscard]] bool isComplete() const { return m_isComplete; }
    /// Returns all items that are not removed.
    [[nodiscard]] std::vector<RegistryItem> items() const;
    /// Returns the changes after a revision, or nothing if the history does not go back that far.
    [[nodiscard]] std::optional<std::vector<RegistryItem>> since(RegistryRevision revision) const;

    /// Maximum number of tombstones. When exceeded, all tombstones and the history are discarded.
    static constexpr std::size_t maximumTombstones = 4096;

private:
    struct Entry
    {
        RegistryItem item;
        RegistryRevision changedAt = 0;
    };

    std::unordered_map<std::string, Entry> m_entries;
    std::size_t m_tombstones = 0;
    RegistryRevision m_revision = 0;
    /// The history is complete only after this revision.
    RegistryRevision m_historyStart = 0;
    bool m_isComplete = false;
};

} // namespace oleander::gateway
