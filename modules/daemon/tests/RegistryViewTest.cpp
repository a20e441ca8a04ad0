#include "RegistryView.h"

#include <gtest/gtest.h>

#include <sstream>
#include <support/TestGateway.h>

using namespace oleander;
using namespace oleander::gateway;
using oleander::testing::VirtualScheduler;
using oleander::testing::VirtualTimer;

namespace {

constexpr Duration lease = seconds(3);

/// Entries of servers are "STATE STARTED-AT SEQUENCE", configurations are versions.
GatewayPlatform makePlatform()
{
    GatewayPlatform platform;
    platform.serverPrefix = "servers/";
    platform.configurationKey = "configuration";
    platform.evacuationPrefix = "evacuate/";
    platform.readRegistration = [](const RegistryItem &item, Reason &) {
        ServerRegistration registration;
        std::istringstream text(item.value);
        std::string state;
        text >> state >> registration.startedAt >> registration.sequence;
        registration.id = ServerId(item.key.substr(std::string_view("servers/").size()));
        registration.isDraining = state == "draining";
        return std::optional(registration);
    };
    platform.readConfiguration = [](const RegistryItem &item, Reason &) {
        GatewayConfiguration configuration;
        configuration.version = SectionVersion(std::stoull(item.value));
        return std::optional(configuration);
    };
    return platform;
}

RegistryItem server(const std::string &id, const std::string &value)
{
    return {"servers/" + id, value, false};
}

/// A view that has read three servers at revision 20 of the first epoch.
struct RegistryViewTest : ::testing::Test
{
    RegistryViewTest()
    {
        list({server("a", "ready 1 5"),
              server("b", "ready 1 5"),
              server("c", "ready 1 5"),
              {"configuration", "14", false}},
             {1, 20});
    }

    /// A listing of one page.
    void list(const std::vector<RegistryItem> &items, RegistryPosition position)
    {
        view.onItems(items, position);
    }
    /// What an instance that asks for the changes after `position` is told, by key; "removed" for
    /// removals, and nothing if it has to read all items.
    [[nodiscard]] std::optional<std::map<std::string, std::string>>
    toldAfter(RegistryPosition position) const
    {
        const auto changes = view.copy().since(position);
        if (!changes)
            return std::nullopt;
        std::map<std::string, std::string> told;
        for (const RegistryItem &item : *changes)
            told[item.key] = item.isRemoved ? "removed" : item.value;
        return told;
    }
    [[nodiscard]] bool isUsed(const std::string &id) const
    {
        const ServerRegistration *known = directory.find(ServerId(id));
        return known && !known->isDraining;
    }
    [[nodiscard]] std::string copiedValue(const std::string &key) const
    {
        const RegistryItem *item = view.copy().find(key);
        return item ? item->value : "";
    }
    void runFor(Duration duration)
    {
        scheduler.runFor(duration);
        directory.expire(scheduler.now());
    }

    VirtualScheduler scheduler;
    VirtualTimer timer{scheduler};
    oleander::gateway::testing::TestLog log;
    GatewayPlatform platform = makePlatform();
    ServerDirectory directory{[](const ServerId &, const ServerRegistration *) {}};
    std::uint64_t version = 0;
    std::set<DataCentreId> evacuated;
    RegistryView view{
        platform,
        directory,
        timer,
        log,
        lease,
        [this](const GatewayConfiguration &configuration) {
            const std::uint64_t offered = configuration.version.value();
            if (offered < version)
                return false;
            version = offered;
            return true;
        },
        [this](const std::set<DataCentreId> &dataCentres) { evacuated = dataCentres; }};
};

// Guards against requests to a server whose drain the registry has lost.
TEST_F(RegistryViewTest, DrainThatARestoredRegistryHasLostStaysInForce)
{
    view.onChanges({server("a", "draining 1 9")}, {1, 21});
    list({server("a", "ready 1 7"), server("b", "ready 1 5"), server("c", "ready 1 5")}, {2, 12});
    EXPECT_FALSE(isUsed("a"));
    EXPECT_TRUE(isUsed("b"));
    view.onChanges({server("a", "draining 1 11")}, {2, 13});
    EXPECT_FALSE(isUsed("a"));
    EXPECT_EQ(copiedValue("servers/a"), "draining 1 11") << "other instances are told";
    runFor(seconds(10));
    EXPECT_FALSE(isUsed("a"));
}

// Guards against requests to a server that has gone, and whose entry came back with the copy.
TEST_F(RegistryViewTest, ServerThatHasGoneIsNotUsedAgainUnlessItWritesItsEntry)
{
    view.onChanges({{"servers/a", {}, true}, {"servers/b", {}, true}}, {1, 21});
    runFor(seconds(1));
    list({server("a", "ready 1 5"), server("b", "ready 1 5"), server("c", "ready 1 5")}, {2, 12});
    EXPECT_FALSE(isUsed("a"));
    EXPECT_FALSE(isUsed("b"));
    view.onChanges({server("b", "ready 1 8")}, {2, 13});
    EXPECT_TRUE(isUsed("b"));
    view.onChanges({{"servers/a", {}, true}}, {2, 14});
    runFor(seconds(10));
    EXPECT_FALSE(isUsed("a"));
    EXPECT_TRUE(isUsed("b"));
}

// Guards against a live server that is never used again: its entry is as it was, and not written.
TEST_F(RegistryViewTest, EntryThatDoesNotLapseIsUsedInTheEnd)
{
    view.onChanges({{"servers/a", {}, true}}, {1, 21});
    list({server("a", "ready 1 5"), server("b", "ready 1 5"), server("c", "ready 1 5")}, {2, 12});
    runFor(seconds(3));
    EXPECT_FALSE(isUsed("a"));
    runFor(seconds(3));
    EXPECT_TRUE(isUsed("a"));
}

// Guards against giving up servers that registered after the copy was made.
TEST_F(RegistryViewTest, ServersThatARestoredRegistryLacksAreKeptUntilTheyCanRegisterAgain)
{
    list({server("b", "ready 1 5")}, {2, 12});
    EXPECT_TRUE(isUsed("a"));
    EXPECT_TRUE(isUsed("c"));
    view.onChanges({server("a", "ready 1 9")}, {2, 13});
    runFor(seconds(3));
    EXPECT_TRUE(isUsed("a"));
    EXPECT_FALSE(isUsed("c"));
}

// Guards against an earlier process of a server, whose entry came back with the copy.
TEST_F(RegistryViewTest, EntryOfAnEarlierProcessIsHeldBack)
{
    view.onChanges({server("a", "draining 7 1")}, {1, 21});
    list({server("a", "ready 1 6"), server("b", "ready 1 5"), server("c", "ready 1 5")}, {2, 12});
    EXPECT_FALSE(isUsed("a"));
}

// Guards against telling instances that start the configuration of the copy.
TEST_F(RegistryViewTest, ConfigurationThatARestoredRegistryHasLostIsToldToOthers)
{
    list({{"configuration", "10", false}}, {2, 12});
    EXPECT_EQ(version, 14U);
    EXPECT_EQ(copiedValue("configuration"), "14");
    list({}, {3, 2});
    EXPECT_EQ(copiedValue("configuration"), "14");
    view.onChanges({{"configuration", "10", false}}, {3, 3});
    EXPECT_EQ(copiedValue("configuration"), "14");
    view.onChanges({{"configuration", "17", false}}, {3, 4});
    EXPECT_EQ(version, 17U);
    EXPECT_EQ(copiedValue("configuration"), "17");
}

// Guards against holding back entries of a registry that was only out of reach.
TEST_F(RegistryViewTest, ServerThatReturnsInTheSameEpochIsUsedAtOnce)
{
    view.onChanges({{"servers/a", {}, true}}, {1, 21});
    list({server("a", "ready 1 5"), server("b", "ready 1 5"), server("c", "ready 1 5")}, {1, 25});
    EXPECT_TRUE(isUsed("a"));
}

const std::set<DataCentreId> onlyNorth{DataCentreId("north")};

// Guards against requests to a data centre that the operator has emptied, and against one that
// stays empty after the operator has taken the evacuation back.
TEST_F(RegistryViewTest, EvacuationHoldsUntilItIsTakenBack)
{
    view.onChanges({{"evacuate/north", "{}", false}}, {1, 21});
    EXPECT_EQ(evacuated, onlyNorth);
    EXPECT_EQ(copiedValue("evacuate/north"), "{}") << "other instances are told";
    view.onReconnected(seconds(10));
    EXPECT_EQ(evacuated, onlyNorth);
    list({{"evacuate/north", "{}", false}, server("a", "ready 1 5")}, {1, 25});
    EXPECT_EQ(evacuated, onlyNorth);
    view.onChanges({{"evacuate/north", {}, true}}, {1, 26});
    EXPECT_TRUE(evacuated.empty());
}

// Guards against missing an evacuation that was taken back while the registry was out of reach.
TEST_F(RegistryViewTest, EvacuationThatIsAbsentFromAFullReadIsOver)
{
    view.onChanges({{"evacuate/north", "{}", false}}, {1, 21});
    list({server("a", "ready 1 5")}, {1, 25});
    EXPECT_TRUE(evacuated.empty());
}

// Guards against requests to a data centre whose evacuation the restored registry has lost.
TEST_F(RegistryViewTest, EvacuationThatARestoredRegistryHasLostStaysInForceForAWhile)
{
    view.onChanges({{"evacuate/north", "{}", false}}, {1, 21});
    list({server("a", "ready 1 5")}, {2, 12});
    EXPECT_EQ(evacuated, onlyNorth);
    EXPECT_EQ(copiedValue("evacuate/north"), "{}") << "instances that start are told";
    runFor(seconds(3));
    EXPECT_EQ(evacuated, onlyNorth);
    view.onChanges({{"evacuate/north", "{}", false}}, {2, 13});
    runFor(seconds(10));
    EXPECT_EQ(evacuated, onlyNorth);
}

// Guards against an evacuation without end, when nobody writes again what the copy lacks.
TEST_F(RegistryViewTest, LostEvacuationEndsUnlessItIsWrittenAgain)
{
    view.onChanges({{"evacuate/north", "{}", false}}, {1, 21});
    list({server("a", "ready 1 5")}, {2, 12});
    runFor(seconds(10));
    EXPECT_TRUE(evacuated.empty());
    EXPECT_EQ(copiedValue("evacuate/north"), "");
}

// Guards against emptying a data centre again because of a copy from before the evacuation ended.
TEST_F(RegistryViewTest, EvacuationThatCameBackWithTheCopyIsNotBegunAtOnce)
{
    view.onChanges({{"evacuate/north", "{}", false}}, {1, 21});
    view.onChanges({{"evacuate/north", {}, true}}, {1, 22});
    list({{"evacuate/north", "{}", false}, server("a", "ready 1 5")}, {2, 12});
    EXPECT_TRUE(evacuated.empty());
    view.onChanges({{"evacuate/north", {}, true}}, {2, 13});
    runFor(seconds(10));
    EXPECT_TRUE(evacuated.empty());
}

// Guards against servers that stay in use at instances that read the registry while its reader
// listed it: the reader's listing lacked the entry, so its removal was no change there (DRAIN).
TEST_F(RegistryViewTest, RemovalDuringAListingIsToldToInstancesThatReadBeforeIt)
{
    view.onItems({server("a", "ready 1 5"), server("c", "ready 1 5")}, {{2, 30}, {2, 40}});
    view.onChanges({{"servers/b", {}, true}}, {2, 45});
    EXPECT_EQ(toldAfter({2, 35}), (std::map<std::string, std::string>{{"servers/b", "removed"}}));
}

// Guards against requests to a draining server, and against missing new servers: a later page of
// the listing had the change already, so the event was taken for a renewal (DRAIN).
TEST_F(RegistryViewTest, ChangesDuringAListingAreToldToInstancesThatReadBeforeThem)
{
    view.onItems({server("a", "ready 1 5"), server("b", "draining 1 6"), server("d", "ready 9 1")},
                 {{2, 30}, {2, 40}});
    view.onChanges({server("b", "draining 1 6"), server("d", "ready 9 1")}, {2, 45});
    EXPECT_EQ(toldAfter({2, 35}), (std::map<std::string, std::string>{{"servers/b", "draining 1 6"},
                                                                      {"servers/d", "ready 9 1"}}));
    view.onChanges({server("a", "ready 1 6")}, {2, 46});
    EXPECT_TRUE(toldAfter({2, 45})->empty()) << "renewals are not told afterwards";
}

// Guards against the same when the listing is read again before the changes made during it arrived:
// the second one lacks what it would have to be compared with.
TEST_F(RegistryViewTest, ListingReadAgainBeforeTheChangesOfTheFirstBeginsANewHistory)
{
    view.onItems({server("a", "ready 1 5"), server("c", "ready 1 5")}, {{2, 30}, {2, 40}});
    view.onItems({server("a", "ready 1 6"), server("c", "ready 1 6")}, {{2, 50}, {2, 52}});
    EXPECT_FALSE(toldAfter({2, 35}));
    EXPECT_TRUE(toldAfter({2, 50}));
}

// Guards against servers that stay in use at other instances because their entries came and went
// while this one did not reach the registry.
TEST_F(RegistryViewTest, ChangesMissedBeforeAListingAreNotPartOfTheHistory)
{
    view.onChanges({server("a", "ready 1 6")}, {1, 25});
    list({server("a", "ready 1 9"), server("b", "ready 1 9"), server("c", "ready 1 9")}, {1, 40});
    EXPECT_TRUE(toldAfter({1, 25}));
    EXPECT_FALSE(toldAfter({1, 30}));
    EXPECT_TRUE(toldAfter({1, 40}));
    list({server("a", "ready 1 9"), server("b", "ready 1 9")}, {1, 60});
    EXPECT_FALSE(toldAfter({1, 25}));
    EXPECT_FALSE(toldAfter({1, 50}));
    EXPECT_EQ(toldAfter({1, 40}), (std::map<std::string, std::string>{{"servers/c", "removed"}}));
}

} // namespace
