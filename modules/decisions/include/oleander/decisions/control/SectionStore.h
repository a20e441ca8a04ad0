#pragma once

#include <oleander/core/Reason.h>
#include <oleander/core/Section.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// The published sections that a daemon holds, and the rule that versions only rise.
///
/// A section comes from the platform or from a peer; where it came from makes no difference. It is
/// stored only after the check passed, so whatever is held may be in force and may be sent on. The
/// order of two values of one section is by version, then by digest: the platform gives each change
/// a version of its own, but should two daemons ever see different values of one version, all
/// daemons still end with the same one.
struct SectionStore
{
    std::map<std::string, std::shared_ptr<const Section>> held;
    /// The newest value that the check refused, for each section that has one above the held value.
    std::map<std::string, SectionSummary> refused;
};

/// Whether a section's text is valid and may be in force; writes the reason when it is not.
using SectionCheck = std::function<bool(const Section &, Reason &)>;

enum class OfferResult {
    /// Valid and newer: held from now on.
    Accepted,
    /// The very value that is held, or that was refused before.
    Known,
    /// Older than the held value; dropped.
    Old,
    /// Newer but not valid; the held value stays.
    Refused,
};

// Values

/// Hash of a section's text.
std::uint64_t sectionDigest(const std::string &body);

/// A section as read, with the digest of its text.
Section makeSection(std::string name, SectionVersion version, std::string body);

/// Whether `left` goes before `right`, both of one section.
bool isOlder(const SectionSummary &left, const SectionSummary &right);

/// The summary with this name, or nothing.
const SectionSummary *findSummary(const std::vector<SectionSummary> &summaries,
                                  const std::string &name);

// Changing the store

/// Takes a section in when it is newer and passes the check. A section whose digest is not that of
/// its text is refused. The reason is written when the result is Refused.
OfferResult offerSection(SectionStore &store, Section section, const SectionCheck &check,
                         Reason &reason);

// Reading the store

/// The held value, or null.
std::shared_ptr<const Section> heldSection(const SectionStore &store, const std::string &name);

/// The highest version of a section that was held or refused: what a watch waits to be passed.
SectionVersion seenVersion(const SectionStore &store, const std::string &name);

/// Summaries of all held sections, in order of name.
std::vector<SectionSummary> heldSummaries(const SectionStore &store);

/// One number for all held summaries: equal for equal stores, and else almost surely different.
std::uint64_t heldDigest(const SectionStore &store);

// Exchanging with a peer

/// The held sections with these names, for a peer that asked for them. Stops before the texts
/// exceed `maximumBytes`, but never before the first one; the peer asks again for the rest.
std::vector<Section> sectionsNamed(const SectionStore &store, const std::vector<std::string> &names,
                                   std::size_t maximumBytes);

/// Whether a peer that holds these lacks anything that is held here.
bool isPeerBehind(const SectionStore &store, const std::vector<SectionSummary> &peerHeld);

/// What to ask a peer for: the summaries of its sections that are newer than the held values and
/// were not refused here.
std::vector<SectionSummary> sectionsWantedFrom(const SectionStore &store,
                                               const std::vector<SectionSummary> &peerHeld);

} // namespace oleander
