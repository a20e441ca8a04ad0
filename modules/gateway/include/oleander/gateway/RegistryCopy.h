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
/// Stores each item with the position of its last known change, and tombstones for removed keys.
/// Lease renewals that do not change an item's content must not be passed to note(): they are most
/// of the registry's traffic.
class RegistryCopy
{
public:
    /// Returns true if two items of the same key have equal content apart from lease renewals.
    using Equivalence = std::function<bool(const RegistryItem &held, const RegistryItem &given)>;

    /// Replaces the content with that of a listing. Missing items are marked as removed, and
    /// equivalent items keep their position. In another epoch than before, no earlier position has
    /// a history. In the same epoch, changes between the last ones received and the listing are
    /// missing from the history.
    void replaceAll(const std::vector<RegistryItem> &items, const ListedSpan &span,
                    const Equivalence &isEquivalent);
    /// Stores an item that was changed or removed at `position` or earlier.
    void note(const RegistryItem &item, RegistryPosition position);
    /// Must be called when all changes up to `position` have been received, and those that matter
    /// were passed to note().
    void setReceived(RegistryPosition position);

    /// Returns false until the changes made during the last listing have been received. They may be
    /// in the content already, so each of them must be passed to note(), whether it changes the
    /// content or not: other instances may have read the registry before it.
    [[nodiscard]] bool hasChangesOfListing() const { return !(m_received < m_listedUpTo); }

    /// Returns the item of this key, or null if there is none.
    [[nodiscard]] const RegistryItem *find(const std::string &key) const;
    /// Position of the latest change.
    [[nodiscard]] RegistryPosition position() const { return m_position; }
    /// Returns true once replaceAll() was called.
    [[nodiscard]] bool isComplete() const { return m_isComplete; }
    /// Returns all items that are not removed.
    [[nodiscard]] std::vector<RegistryItem> items() const;
    /// Returns the changes after a position, or nothing if the history does not contain it.
    [[nodiscard]] std::optional<std::vector<RegistryItem>> since(RegistryPosition position) const;

    /// Maximum number of tombstones. When exceeded, all tombstones and the history are discarded.
    static constexpr std::size_t maximumTombstones = 4096;

private:
    struct Entry
    {
        RegistryItem item;
        RegistryPosition changedAt;
    };

    std::unordered_map<std::string, Entry> m_entries;
    std::size_t m_tombstones = 0;
    RegistryPosition m_position;
    /// The history is complete only after this position.
    RegistryPosition m_historyStart;
    /// Changes between these two positions were missed before the last listing.
    RegistryPosition m_gapStart;
    RegistryPosition m_gapEnd;
    /// All changes up to this position were received.
    RegistryPosition m_received;
    /// Position of the last page of the last listing.
    RegistryPosition m_listedUpTo;
    bool m_isComplete = false;
};

} // namespace oleander::gateway
