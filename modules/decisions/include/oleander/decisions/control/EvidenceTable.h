#pragma once

#include <oleander/core/Units.h>

#include <map>

namespace oleander {

/// What is known about an instance or a backend server from calls to it.
enum class Evidence {
    /// There is no evidence, or it has expired.
    None,
    /// A call failed, and the cause was not in this daemon itself.
    Unreachable,
    /// The instance or server announced that it is leaving.
    Leaving,
};

/// Evidence against instances or backend servers, collected from calls to them.
///
/// The published list names the candidates; this table excludes those that have failed or are
/// leaving. Entries expire, because an excluded instance or server is not contacted, and may
/// meanwhile be reachable again or replaced.
template <typename Id>
struct EvidenceTable
{
    struct Entry
    {
        Evidence kind = Evidence::None;
        TimePoint until;
    };
    std::map<Id, Entry> entries;
};

/// Records that a call was answered. This clears Unreachable but not Leaving, because an instance
/// that is leaving still answers calls.
template <typename Id>
void noteAnswered(EvidenceTable<Id> &table, const Id &id)
{
    const auto found = table.entries.find(id);
    if (found != table.entries.end() && found->second.kind == Evidence::Unreachable)
        table.entries.erase(found);
}

/// Records that a call failed; the entry expires at `until`. Does not replace Leaving.
template <typename Id>
void noteUnreachable(EvidenceTable<Id> &table, const Id &id, TimePoint until)
{
    auto &entry = table.entries[id];
    if (entry.kind != Evidence::Leaving)
        entry = {Evidence::Unreachable, until};
}

/// Records that an instance or server announced that it is leaving; the entry expires at `until`.
template <typename Id>
void noteLeaving(EvidenceTable<Id> &table, const Id &id, TimePoint until)
{
    table.entries[id] = {Evidence::Leaving, until};
}

/// Removes expired entries. Returns whether any were removed.
template <typename Id>
bool expireEvidence(EvidenceTable<Id> &table, TimePoint now)
{
    return std::erase_if(table.entries,
                         [now](const auto &item) { return item.second.until <= now; })
           > 0;
}

/// The recorded evidence about one instance or server.
template <typename Id>
Evidence evidenceOf(const EvidenceTable<Id> &table, const Id &id)
{
    const auto found = table.entries.find(id);
    return found == table.entries.end() ? Evidence::None : found->second.kind;
}

} // namespace oleander
