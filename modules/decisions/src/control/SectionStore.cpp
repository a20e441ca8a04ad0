#include <oleander/decisions/control/SectionStore.h>

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace oleander {

namespace {

bool wasRefused(const SectionStore &store, const SectionSummary &section)
{
    const auto refused = store.refused.find(section.name);
    return refused != store.refused.end() && refused->second == section;
}

bool isHeldOrNewer(const SectionStore &store, const SectionSummary &section)
{
    const auto held = store.held.find(section.name);
    return held != store.held.end() && !isOlder(held->second->summary, section);
}

bool isValid(const Section &section, const SectionCheck &check, Reason &reason)
{
    if (section.summary.digest != sectionDigest(section.body)) {
        reason.set(ErrorKind::BadRequest, section.summary.name + ": text and digest differ");
        return false;
    }
    return check(section, reason);
}

void accept(SectionStore &store, Section section)
{
    const std::string name = section.summary.name;
    const auto refused = store.refused.find(name);
    if (refused != store.refused.end() && isOlder(refused->second, section.summary))
        store.refused.erase(refused);
    store.held[name] = std::make_shared<const Section>(std::move(section));
}

} // namespace

std::uint64_t sectionDigest(const std::string &body)
{
    return XXH3_64bits(body.data(), body.size());
}

Section makeSection(std::string name, SectionVersion version, std::string body)
{
    const auto digest = sectionDigest(body);
    return Section{{std::move(name), version, digest}, std::move(body)};
}

bool isOlder(const SectionSummary &left, const SectionSummary &right)
{
    return std::tie(left.version, left.digest) < std::tie(right.version, right.digest);
}

const SectionSummary *findSummary(const std::vector<SectionSummary> &summaries,
                                  const std::string &name)
{
    const auto found = std::ranges::find(summaries, name, &SectionSummary::name);
    return found == summaries.end() ? nullptr : &*found;
}

OfferResult offerSection(SectionStore &store, Section section, const SectionCheck &check,
                         Reason &reason)
{
    const auto held = store.held.find(section.summary.name);
    if (held != store.held.end()) {
        if (held->second->summary == section.summary)
            return OfferResult::Known;
        if (isOlder(section.summary, held->second->summary))
            return OfferResult::Old;
    }
    if (wasRefused(store, section.summary))
        return OfferResult::Known;
    if (!isValid(section, check, reason)) {
        store.refused[section.summary.name] = section.summary;
        return OfferResult::Refused;
    }
    accept(store, std::move(section));
    return OfferResult::Accepted;
}

std::shared_ptr<const Section> heldSection(const SectionStore &store, const std::string &name)
{
    const auto held = store.held.find(name);
    return held == store.held.end() ? nullptr : held->second;
}

SectionVersion seenVersion(const SectionStore &store, const std::string &name)
{
    SectionVersion seen;
    if (const auto held = heldSection(store, name))
        seen = held->summary.version;
    const auto refused = store.refused.find(name);
    return refused == store.refused.end() ? seen : std::max(seen, refused->second.version);
}

std::vector<SectionSummary> heldSummaries(const SectionStore &store)
{
    std::vector<SectionSummary> summaries;
    summaries.reserve(store.held.size());
    for (const auto &[name, section] : store.held)
        summaries.push_back(section->summary);
    return summaries;
}

std::uint64_t heldDigest(const SectionStore &store)
{
    std::uint64_t digest = 0;
    for (const auto &[name, section] : store.held) {
        const std::uint64_t numbers[] = {digest, section->summary.version.value(),
                                         section->summary.digest};
        digest =
            XXH3_64bits_withSeed(name.data(), name.size(), XXH3_64bits(numbers, sizeof numbers));
    }
    return digest;
}

std::vector<Section> sectionsNamed(const SectionStore &store, const std::vector<std::string> &names,
                                   std::size_t maximumBytes)
{
    std::vector<Section> sections;
    std::size_t bytes = 0;
    for (const std::string &name : names) {
        const auto section = heldSection(store, name);
        if (!section)
            continue;
        bytes += section->body.size();
        if (!sections.empty() && bytes > maximumBytes)
            break;
        sections.push_back(*section);
    }
    return sections;
}

bool isPeerBehind(const SectionStore &store, const std::vector<SectionSummary> &peerHeld)
{
    return std::ranges::any_of(store.held, [&](const auto &item) {
        const SectionSummary *peers = findSummary(peerHeld, item.first);
        return !peers || isOlder(*peers, item.second->summary);
    });
}

std::vector<SectionSummary> sectionsWantedFrom(const SectionStore &store,
                                               const std::vector<SectionSummary> &peerHeld)
{
    std::vector<SectionSummary> wanted;
    for (const SectionSummary &summary : peerHeld) {
        if (!isHeldOrNewer(store, summary) && !wasRefused(store, summary))
            wanted.push_back(summary);
    }
    return wanted;
}

} // namespace oleander
