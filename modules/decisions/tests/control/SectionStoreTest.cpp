#include <oleander/decisions/control/SectionStore.h>

#include <gtest/gtest.h>

using namespace oleander;

namespace {

OfferResult offer(SectionStore &store, std::uint64_t version, const std::string &body)
{
    Reason reason;
    return offerSection(
        store, makeSection("config", SectionVersion(version), body),
        [](const Section &section, Reason &) { return section.body != "bad"; }, reason);
}

} // namespace

TEST(SectionStore, VersionsOnlyIncreaseAndTiesAreResolvedByDigest)
{
    SectionStore store;
    EXPECT_EQ(offer(store, 2, "two"), OfferResult::Accepted);
    EXPECT_EQ(offer(store, 2, "two"), OfferResult::Known);
    EXPECT_EQ(offer(store, 1, "one"), OfferResult::Old);
    const bool otherIsNewer = sectionDigest("other") > sectionDigest("two");
    EXPECT_EQ(offer(store, 2, "other"), otherIsNewer ? OfferResult::Accepted : OfferResult::Old);
    EXPECT_EQ(store.held.at("config")->summary.version, SectionVersion(2));
}

TEST(SectionStore, RefusedValueDoesNotBlockOtherVersions)
{
    SectionStore store;
    offer(store, 1, "one");
    EXPECT_EQ(offer(store, 9, "bad"), OfferResult::Refused);
    EXPECT_EQ(offer(store, 9, "bad"), OfferResult::Known);
    EXPECT_EQ(seenVersion(store, "config"), SectionVersion(9));
    const auto refused = makeSection("config", SectionVersion(9), "bad").summary;
    EXPECT_TRUE(sectionsWantedFrom(store, {refused}).empty());
    EXPECT_EQ(offer(store, 5, "five"), OfferResult::Accepted);
    EXPECT_EQ(offer(store, 10, "ten"), OfferResult::Accepted);
    EXPECT_TRUE(store.refused.empty());
}

TEST(SectionStore, SectionWithWrongDigestIsRefused)
{
    SectionStore store;
    Section forged = makeSection("config", SectionVersion(3), "true text");
    forged.body = "other text";
    Reason reason;
    EXPECT_EQ(offerSection(
                  store, forged, [](const Section &, Reason &) { return true; }, reason),
              OfferResult::Refused);
    EXPECT_TRUE(store.held.empty());
    EXPECT_NE(reason.text.find("digest"), std::string::npos);
}

TEST(SectionStore, DetectsWhichPeerHasOlderSections)
{
    SectionStore older;
    SectionStore newer;
    offer(older, 1, "one");
    offer(newer, 2, "two");
    EXPECT_NE(heldDigest(older), heldDigest(newer));
    EXPECT_EQ(sectionsWantedFrom(older, heldSummaries(newer)).size(), 1U);
    EXPECT_TRUE(sectionsWantedFrom(newer, heldSummaries(older)).empty());
    EXPECT_TRUE(isPeerBehind(newer, heldSummaries(older)));
    EXPECT_FALSE(isPeerBehind(older, heldSummaries(newer)));
    EXPECT_EQ(sectionsNamed(newer, {"config", "unknown"}, 1).size(), 1U);
}
