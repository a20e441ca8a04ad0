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
        view.onItems({server("a", "ready 1 5"),
                      server("b", "ready 1 5"),
                      server("c", "ready 1 5"),
                      {"configuration", "14", false}},
                     {1, 20});
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
    view.onItems({server("a", "ready 1 7"), server("b", "ready 1 5"), server("c", "ready 1 5")},
                 {2, 12});
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
    view.onItems({server("a", "ready 1 5"), server("b", "ready 1 5"), server("c", "ready 1 5")},
                 {2, 12});
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
    view.onItems({server("a", "ready 1 5"), server("b", "ready 1 5"), server("c", "ready 1 5")},
                 {2, 12});
    runFor(seconds(3));
    EXPECT_FALSE(isUsed("a"));
    runFor(seconds(3));
    EXPECT_TRUE(isUsed("a"));
}

// Guards against giving up servers that registered after the copy was made.
TEST_F(RegistryViewTest, ServersThatARestoredRegistryLacksAreKeptUntilTheyCanRegisterAgain)
{
    view.onItems({server("b", "ready 1 5")}, {2, 12});
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
    view.onItems({server("a", "ready 1 6"), server("b", "ready 1 5"), server("c", "ready 1 5")},
                 {2, 12});
    EXPECT_FALSE(isUsed("a"));
}

// Guards against telling instances that start the configuration of the copy.
TEST_F(RegistryViewTest, ConfigurationThatARestoredRegistryHasLostIsToldToOthers)
{
    view.onItems({{"configuration", "10", false}}, {2, 12});
    EXPECT_EQ(version, 14U);
    EXPECT_EQ(copiedValue("configuration"), "14");
    view.onItems({}, {3, 2});
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
    view.onItems({server("a", "ready 1 5"), server("b", "ready 1 5"), server("c", "ready 1 5")},
                 {1, 25});
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
    view.onItems({{"evacuate/north", "{}", false}, server("a", "ready 1 5")}, {1, 25});
    EXPECT_EQ(evacuated, onlyNorth);
    view.onChanges({{"evacuate/north", {}, true}}, {1, 26});
    EXPECT_TRUE(evacuated.empty());
}

// Guards against missing an evacuation that was taken back while the registry was out of reach.
TEST_F(RegistryViewTest, EvacuationThatIsAbsentFromAFullReadIsOver)
{
    view.onChanges({{"evacuate/north", "{}", false}}, {1, 21});
    view.onItems({server("a", "ready 1 5")}, {1, 25});
    EXPECT_TRUE(evacuated.empty());
}

// Guards against requests to a data centre whose evacuation the restored registry has lost.
TEST_F(RegistryViewTest, EvacuationThatARestoredRegistryHasLostStaysInForceForAWhile)
{
    view.onChanges({{"evacuate/north", "{}", false}}, {1, 21});
    view.onItems({server("a", "ready 1 5")}, {2, 12});
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
    view.onItems({server("a", "ready 1 5")}, {2, 12});
    runFor(seconds(10));
    EXPECT_TRUE(evacuated.empty());
    EXPECT_EQ(copiedValue("evacuate/north"), "");
}

// Guards against emptying a data centre again because of a copy from before the evacuation ended.
TEST_F(RegistryViewTest, EvacuationThatCameBackWithTheCopyIsNotBegunAtOnce)
{
    view.onChanges({{"evacuate/north", "{}", false}}, {1, 21});
    view.onChanges({{"evacuate/north", {}, true}}, {1, 22});
    view.onItems({{"evacuate/north", "{}", false}, server("a", "ready 1 5")}, {2, 12});
    EXPECT_TRUE(evacuated.empty());
    view.onChanges({{"evacuate/north", {}, true}}, {2, 13});
    runFor(seconds(10));
    EXPECT_TRUE(evacuated.empty());
}

} // namespace
