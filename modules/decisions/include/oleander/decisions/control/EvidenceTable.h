#pragma once

#include <oleander/core/Units.h>

#include <map>

namespace oleander {

/// What direct contact told about a peer or a backend server.
enum class Evidence {
    /// Nothing, or nothing that still counts.
    None,
    /// A call failed in a way that was not this daemon's own fault.
    Unreachable,
    /// It said itself that it is leaving.
    Leaving,
};

/// Direct evidence about instances or backend servers, kept for a limited time.
///
/// The published list proposes who may be used; this table disposes. Evidence expires, because the
/// thing that it was about may be replaced or reachable again while nobody asks it.
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

/// Records that a call was answered. It takes back Unreachable, but not Leaving: an instance that
/// leaves still answers.
template <typename Id>
void noteAnswered(EvidenceTable<Id> &table, const Id &id)
{
    const auto found = table.entries.find(id);
    if (found != table.entries.end() && found->second.kind == Evidence::Unreachable)
        table.entries.erase(found);
}

/// Records that a call failed; believed until a time. Leaving is not weakened by it.
template <typename Id>
void noteUnreachable(EvidenceTable<Id> &table, const Id &id, TimePoint until)
{
    auto &entry = table.entries[id];
    if (entry.kind != Evidence::Leaving)
        entry = {Evidence::Unreachable, until};
}

/// Records that it said it is leaving; believed until a time.
template <typename Id>
void noteLeaving(EvidenceTable<Id> &table, const Id &id, TimePoint until)
{
    table.entries[id] = {Evidence::Leaving, until};
}

/// Drops what is no longer believed. Returns whether anything was dropped.
template <typename Id>
bool expireEvidence(EvidenceTable<Id> &table, TimePoint now)
{
    return std::erase_if(table.entries,
                         [now](const auto &item) { return item.second.until <= now; })
           > 0;
}

/// What is believed of one instance or server.
template <typename Id>
Evidence evidenceOf(const EvidenceTable<Id> &table, const Id &id)
{
    const auto found = table.entries.find(id);
    return found == table.entries.end() ? Evidence::None : found->second.kind;
}

} // namespace oleander
