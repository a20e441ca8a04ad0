#include <oleander/gateway/RegistryCopy.h>

#include <algorithm>
#include <unordered_set>

namespace oleander::gateway {

void RegistryCopy::replaceAll(const std::vector<RegistryItem> &items, const ListedSpan &span,
                              const Equivalence &isEquivalent)
{
    const RegistryPosition position = span.first;
    // What changed during an earlier listing can't be told from what it found.
    const bool isNewHistory =
        !m_isComplete || !isSameHistory(position, m_position) || !hasChangesOfListing();
    std::unordered_set<std::string> present;
    for (const RegistryItem &item : items) {
        present.insert(item.key);
        const auto held = m_entries.find(item.key);
        if (held == m_entries.end() || held->second.item.isRemoved
            || !isEquivalent(held->second.item, item))
            note(item, position);
    }
    std::vector<std::string> absent;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.item.isRemoved && !present.contains(key))
            absent.push_back(key);
    }
    for (const std::string &key : absent)
        note({key, {}, true}, position);
    if (isNewHistory) {
        m_historyStart = position;
        m_gapStart = m_gapEnd = position;
    } else if (m_received < position) {
        m_historyStart = std::max(m_historyStart, m_gapEnd);
        m_gapStart = m_received;
        m_gapEnd = position;
    }
    m_isComplete = true;
    m_position = advanced(m_position, position);
    m_received = advanced(m_received, position);
    m_listedUpTo = span.last;
}

void RegistryCopy::setReceived(RegistryPosition position)
{
    m_received = advanced(m_received, position);
}

void RegistryCopy::note(const RegistryItem &item, RegistryPosition position)
{
    Entry &entry = m_entries[item.key];
    m_tombstones -= entry.item.isRemoved ? 1 : 0;
    entry = {item, position};
    m_tombstones += item.isRemoved ? 1 : 0;
    m_position = advanced(m_position, position);
    if (m_tombstones <= maximumTombstones)
        return;
    std::erase_if(m_entries, [](const auto &held) { return held.second.item.isRemoved; });
    m_tombstones = 0;
    m_historyStart = m_position;
}

const RegistryItem *RegistryCopy::find(const std::string &key) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() && !found->second.item.isRemoved ? &found->second.item
                                                                     : nullptr;
}

std::vector<RegistryItem> RegistryCopy::items() const
{
    std::vector<RegistryItem> result;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.item.isRemoved)
            result.push_back(entry.item);
    }
    return result;
}

std::optional<std::vector<RegistryItem>> RegistryCopy::since(RegistryPosition position) const
{
    const bool isInGap = m_gapStart < position && position < m_gapEnd;
    if (!m_isComplete || position < m_historyStart || isInGap
        || !isSameHistory(position, m_position))
        return std::nullopt;
    std::vector<RegistryItem> result;
    if (!(position < m_position))
        return result;
    for (const auto &[key, entry] : m_entries) {
        if (position < entry.changedAt)
            result.push_back(entry.item);
    }
    return result;
}

} // namespace oleander::gateway
