#include <oleander/settings/GatewaySettings.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace oleander;
using nlohmann::json;

namespace {

json plainSettings()
{
    return {{"instance", "front-a-1"},
            {"dataCentre", "a"},
            {"callerAddress", "10.0.0.1:8104"},
            {"readinessAddress", "10.0.0.1:8108"},
            {"metricsAddress", "10.0.0.1:7380"},
            {"registryAddress", "10.0.0.2:8102"},
            {"peerAddress", "10.0.0.1:7395"},
            {"fleetKey", "one fleet"},
            {"seeds", {"10.0.0.3:8106"}},
            {"stopSeconds", 6},
            {"heartbeatMs", 1200},
            {"descriptors", 2870},
            {"processorShare", 0.17},
            {"extraLoad", {{"share", 0.2}, {"allowance", 129}, {"windowSeconds", 10}}}};
}

TEST(GatewaySettings, ReadsAllFields)
{
    Reason reason;
    const auto settings = parseGatewaySettings(plainSettings().dump(), reason);
    ASSERT_TRUE(settings) << reason.text;
    EXPECT_EQ(settings->callerAddress, (Address{"10.0.0.1", 8104}));
    EXPECT_EQ(settings->seeds.size(), 1U);
    EXPECT_EQ(settings->stopTime, seconds(6));
    EXPECT_EQ(settings->heartbeat, milliseconds(1200));
    EXPECT_EQ(settings->extraAllowance, 129);
}

// Guards against refusing settings files that were written for the release before.
TEST(GatewaySettings, LinkBandwidthIsOptional)
{
    Reason reason;
    json document = plainSettings();
    EXPECT_EQ(parseGatewaySettings(document.dump(), reason)->linkMbps, std::nullopt);
    document["linkMbps"] = 59.5;
    EXPECT_EQ(parseGatewaySettings(document.dump(), reason)->linkMbps, 59.5);
}

/// Guards against instances that refuse the settings file of an earlier release.
TEST(GatewaySettings, MemoryLimitIsOptional)
{
    json document = plainSettings();
    Reason reason;
    const auto older = parseGatewaySettings(document.dump(), reason);
    ASSERT_TRUE(older) << reason.text;
    EXPECT_EQ(older->memoryMb, GatewaySettings().memoryMb);
    document["memoryMb"] = 112;
    const auto settings = parseGatewaySettings(document.dump(), reason);
    ASSERT_TRUE(settings) << reason.text;
    EXPECT_EQ(settings->memoryMb, 112);
    document["memoryMb"] = 1;
    EXPECT_FALSE(parseGatewaySettings(document.dump(), reason));
    EXPECT_TRUE(reason.text.starts_with("$.memoryMb: must be a whole number from 32"))
        << reason.text;
}

// Guards against settings files of the previous release that are refused, and against deployments
// that are served differently although their settings do not ask for it.
TEST(GatewaySettings, LoadControlIsOffUnlessSwitchedOn)
{
    Reason reason;
    json document = plainSettings();
    const auto plain = parseGatewaySettings(document.dump(), reason);
    ASSERT_TRUE(plain) << reason.text;
    EXPECT_FALSE(plain->isLoadControlled);
    document["loadControl"]["isEnabled"] = true;
    const auto switchedOn = parseGatewaySettings(document.dump(), reason);
    ASSERT_TRUE(switchedOn) << reason.text;
    EXPECT_TRUE(switchedOn->isLoadControlled);
}

TEST(GatewaySettings, NamesThePathAndTheRangeOfWhatIsWrong)
{
    const std::vector<std::pair<json, std::string>> faults{
        {{{"stopSeconds", 0}}, "$.stopSeconds: must be a number from 0.1 to 3600.0, not 0"},
        {{{"heartbeatMs", 1}}, "$.heartbeatMs: must be a whole number from 10 to 600000 (ms)"},
        {{{"callerAddress", "some.name:1"}}, "$.callerAddress: must be an IP number and a port"},
        {{{"seeds", {"x"}}}, "$.seeds[0]: must be an IP number and a port"},
        {{{"fleetKey", "short"}}, "$.fleetKey: must be a text of at least 8 bytes"},
        {{{"unheardOf", 1}}, "$.unheardOf: is not known here"},
        {{{"loadControl", {{"isEnabled", 1}}}}, "$.loadControl.isEnabled: must be true or false"},
        {{{"extraLoad", {{"share", 2}, {"allowance", 1}, {"windowSeconds", 10}}}},
         "$.extraLoad.share: must be a number from 0"},
    };
    for (const auto &[change, message] : faults) {
        json document = plainSettings();
        document.update(change);
        Reason reason;
        EXPECT_FALSE(parseGatewaySettings(document.dump(), reason));
        EXPECT_TRUE(reason.text.starts_with(message)) << reason.text;
    }
}

TEST(GatewaySettings, EveryFieldIsRequired)
{
    const json plain = plainSettings();
    for (const auto &[name, value] : plain.items()) {
        json document = plain;
        document.erase(name);
        Reason reason;
        EXPECT_FALSE(parseGatewaySettings(document.dump(), reason)) << name;
        EXPECT_TRUE(reason.text.starts_with("$." + name)) << reason.text;
    }
}

} // namespace
