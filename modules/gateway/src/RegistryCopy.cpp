#include <oleander/gateway/RegistryCopy.h>

#include <algorithm>
#include <unordered_set>

namespace oleander::gateway {

void RegistryCopy::replaceAll(const std::vector<RegistryItem> &items, RegistryRevision revision,
                              const Equivalence &isEquivalent)
{
    std::unordered_set<std::string> present;
    for (const RegistryItem &item : items) {
        present.insert(item.key);
        const auto held = m_entries.find(item.key);
        if (held == m_entries.end() || held->second.item.isRemoved
            || !isEquivalent(held->second.item, item))
            note(item, revision);
    }
    std::vector<std::string> absent;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.item.isRemoved && !present.contains(key))
            absent.push_back(key);
    }
    for (const std::string &key : absent)
        note({key, {}, true}, revision);
    if (!m_isComplete)
        m_historyStart = revision;
    m_isComplete = true;
    m_revision = std::max(m_revision, revision);
}

void RegistryCopy::note(const RegistryItem &item, RegistryRevision revision)
{
    Entry &entry = m_entries[item.key];
    m_tombstones -= entry.item.isRemoved ? 1 : 0;
    entry = {item, revision};
    m_tombstones += item.isRemoved ? 1 : 0;
    m_revision = std::max(m_revision, revision);
    if (m_tombstones <= maximumTombstones)
        return;
    std::erase_if(m_entries, [](const auto &held) { return held.second.item.isRemoved; });
    m_tombstones = 0;
    m_historyStart = m_revision;
}

bool RegistryCopy::holds(const std::string &key) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() && !found->second.item.isRemoved;
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

std::optional<std::vector<RegistryItem>> RegistryCopy::since(RegistryRevision revision) const
{
    if (!m_isComplete || revision < m_historyStart)
        return std::nullopt;
    std::vector<RegistryItem> result;
    if (revision >= m_revision)
        return result;
    for (const auto &[key, entry] : m_entries) {
        if (entry.changedAt > revision)
            result.push_back(entry.item);
    }
    return result;
}

} // namespace oleander::gateway
