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

/// The published sections that a daemon holds. The version of a held section only increases.
///
/// Sections from the platform and from peers are treated alike. A section is stored only after it
/// has been validated, so every held section may be used and sent to peers. Two values of a section
/// are ordered by version, then by digest: the platform gives each change a new version, but if
/// daemons ever receive different values of one version, all of them still converge to the same
/// value.
struct SectionStore
{
    std::map<std::string, std::shared_ptr<const Section>> held;
    /// For each section, the newest value that failed validation, if it is newer than the held one.
    std::map<std::string, SectionSummary> refused;
};

/// Validates the body of a section; writes the reason when it returns false.
using SectionCheck = std::function<bool(const Section &, Reason &)>;

enum class OfferResult {
    /// Valid and newer than the held value, which it replaces.
    Accepted,
    /// Identical to the held value, or to the value that was refused before.
    Known,
    /// Older than the held value, and dropped.
    Old,
    /// Newer but invalid; the held value is kept.
    Refused,
};

// Values

/// Hash of the body of a section.
std::uint64_t sectionDigest(const std::string &body);

/// Creates a section and computes the digest of its body.
Section makeSection(std::string name, SectionVersion version, std::string body);

/// Whether `left` is an older value of a section than `right`.
bool isOlder(const SectionSummary &left, const SectionSummary &right);

/// The summary with this name, or null.
const SectionSummary *findSummary(const std::vector<SectionSummary> &summaries,
                                  const std::string &name);

// Changing the store

/// Stores a section if it is newer than the held one and valid. A section whose digest does not
/// match its body is refused. The reason is written when the result is Refused.
OfferResult offerSection(SectionStore &store, Section section, const SectionCheck &check,
                         Reason &reason);

// Reading the store

/// The held section with this name, or null.
std::shared_ptr<const Section> heldSection(const SectionStore &store, const std::string &name);

/// The highest version of a section that was stored or refused; a watch waits for a higher one.
SectionVersion seenVersion(const SectionStore &store, const std::string &name);

/// Summaries of all held sections, sorted by name.
std::vector<SectionSummary> heldSummaries(const SectionStore &store);

/// Hash over the summaries of all held sections.
std::uint64_t heldDigest(const SectionStore &store);

// Exchanging with a peer

/// The held sections with these names, as requested by a peer. The result always includes the first
/// section, and further ones until the bodies would exceed `maximumBytes`; the peer requests the
/// others again.
std::vector<Section> sectionsNamed(const SectionStore &store, const std::vector<std::string> &names,
                                   std::size_t maximumBytes);

/// Whether a peer that holds these sections lacks a section of the store, or has an older value.
bool isPeerBehind(const SectionStore &store, const std::vector<SectionSummary> &peerHeld);

/// The sections to request from a peer: those that are newer than the held values and were not
/// refused here.
std::vector<SectionSummary> sectionsWantedFrom(const SectionStore &store,
                                               const std::vector<SectionSummary> &peerHeld);

} // namespace oleander
