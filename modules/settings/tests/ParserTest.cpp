#include <oleander/settings/DaemonSettings.h>
#include <oleander/settings/InstanceListParser.h>
#include <oleander/settings/PartitionMapParser.h>
#include <oleander/settings/PolicySetParser.h>

#include <gtest/gtest.h>

using namespace oleander;

namespace {

std::string firstFinding(std::string_view text)
{
    Reason reason;
    const bool isRead = parsePolicySet(text, SectionVersion(1), reason).has_value();
    return isRead ? "accepted" : reason.text;
}

/// A configuration with the given defaults and exceptions.
std::string configuration(const std::string &defaults, const std::string &exceptions = "")
{
    return R"({"fleet": "f", "defaults": {)" + defaults + R"(}, "exceptions": [)" + exceptions
           + "]}";
}

std::string exceptionText(const std::string &name, const std::string &covers,
                          const std::string &values)
{
    return R"({"name": ")" + name + R"(", "reason": "because", "covers": {)" + covers
           + R"(}, "values": {)" + values + "}}";
}

/// A partition map whose shards are given.
std::string partitionMap(const std::string &shards, const std::string &cap = "8")
{
    return R"({"backend": "b", "service": "s", "snapshot": 1, "shards": [)" + shards
           + R"(], "servers": [{"id": "x", "dataCentre": "d", "address": "127.0.0.1:1",)"
           + R"("slots": 2, "connectionCap": )" + cap + "}]}";
}

std::string shardText(const std::string &id, const std::string &first, const std::string &end,
                      const std::string &replicas = R"("x")")
{
    return R"({"id": ")" + id + R"(", "firstKey": ")" + first + R"(", "endKey": ")" + end
           + R"(", "replicas": [)" + replicas + "]}";
}

std::string firstMapFinding(const std::string &text)
{
    Reason reason;
    const bool isRead = parsePartitionMap(text, SectionVersion(1), reason).has_value();
    return isRead ? "accepted" : reason.text;
}

void expectStarts(const std::string &text, const std::string &start)
{
    EXPECT_EQ(text.substr(0, start.size()), start) << text;
}

} // namespace

TEST(PolicySetParser, ReadsValuesInTheirUnits)
{
    Reason reason;
    const auto set = parsePolicySet(
        configuration(R"("tailLimitMs": 55, "hedgeDelayMinimumUs": 1500, "patience": "coverage")",
                      exceptionText("e", R"("caller": "c")", R"("canary": true)")),
        SectionVersion(7), reason);
    ASSERT_TRUE(set) << reason.text;
    EXPECT_EQ(set->version, SectionVersion(7));
    EXPECT_EQ(set->defaults.tailLimit, milliseconds(55));
    EXPECT_EQ(set->defaults.hedgeDelayMinimum, microseconds(1500));
    EXPECT_EQ(set->defaults.patience, Patience::Coverage);
    EXPECT_EQ(set->exceptions.at(0).fields, std::vector<std::string>{"canary"});
}

TEST(PolicySetParser, NamesPathUnitAndRange)
{
    EXPECT_EQ(firstFinding(configuration(R"("tailLimitMs": 0)")),
              "$.defaults.tailLimitMs: must be a whole number from 1 to 600000 (milliseconds), "
              "not 0");
    EXPECT_EQ(firstFinding(configuration(R"("tailLimitMs": 1.5)")),
              "$.defaults.tailLimitMs: must be a whole number from 1 to 600000 (milliseconds), "
              "not a number with a fraction");
}

TEST(PolicySetParser, RefusesWhatIsMalformed)
{
    expectStarts(firstFinding("{"), "$: not valid JSON");
    expectStarts(firstFinding(""), "$: not valid JSON");
    expectStarts(firstFinding("[]"), "$: must be an object");
    expectStarts(firstFinding(configuration(R"("tailLimitMs": NaN)")),
                 "$.defaults.tailLimitMs: no");
    expectStarts(firstFinding(configuration(R"("tailLimitMs": 1e999)")),
                 "$.defaults.tailLimitMs: not");
    expectStarts(firstFinding(configuration(R"("tailLimitMs": 18446744073709551615)")),
                 "$.defaults.tailLimitMs: must be a whole number");
    expectStarts(firstFinding(configuration(R"("tailLimitMs": 1, "tailLimitMs": 2)")),
                 "$.defaults.tailLimitMs: this key stands twice");
    expectStarts(firstFinding(configuration(R"("tailLimit": 1)")),
                 "$.defaults.tailLimit: is not a known value");
    expectStarts(firstFinding(R"({"fleet": "f", "defaults": {}, "extra": 1})"),
                 "$.extra: is not known here");
    expectStarts(firstFinding(configuration(R"("patience": "never")")),
                 R"($.defaults.patience: must be "tail" or "coverage")");
    expectStarts(firstFinding(std::string(2000, '[')), "$");
    expectStarts(firstFinding(std::string(1048577, ' ')), "$: longer than 1048576 bytes");
}

TEST(PolicySetParser, RefusesExceptionsWithoutReasonSubjectOrValues)
{
    const std::string blank =
        R"({"name": "e", "reason": " ", "covers": {"caller": "c"}, "values": {"canary": true}})";
    expectStarts(firstFinding(configuration("", blank)), "$.exceptions[0].reason: must say why");
    expectStarts(firstFinding(configuration("", exceptionText("e", "", R"("canary": true)"))),
                 "$.exceptions[0].covers: covers everything");
    expectStarts(firstFinding(configuration("", exceptionText("e", R"("caller": "c")", ""))),
                 "$.exceptions[0].values: must change at least one");
    expectStarts(firstFinding(configuration(
                     "", exceptionText("e", R"("instance": "i")", R"("coordinators": 2)"))),
                 "$.exceptions[0].values.coordinators: may only be changed for a backend or a");
}

TEST(PolicySetParser, RefusesConflictsAndRepeatedNames)
{
    const std::string first = exceptionText("a", R"("backend": "b")", R"("canary": true)");
    const std::string same = exceptionText("c", R"("backend": "b")", R"("canary": false)");
    const std::string named = exceptionText("a", R"("backend": "d")", R"("canary": true)");
    expectStarts(firstFinding(configuration("", first + "," + same)),
                 "$.exceptions[1].values.canary: conflicts with exception \"a\"");
    expectStarts(firstFinding(configuration("", first + "," + named)),
                 "$.exceptions[1].name: \"a\" is the name of an earlier");
}

TEST(PolicySetParser, RefusesContradictionsThatOnlyTwoExceptionsTogetherMake)
{
    const std::string slow = exceptionText("a", R"("backend": "b")", R"("tailLimitMs": 900)");
    const std::string brief = exceptionText(
        "c", R"("caller": "d")", R"("maximumDeadlineMs": 500, "defaultDeadlineMs": 500)");
    EXPECT_EQ(firstFinding(configuration("", slow)), "accepted");
    EXPECT_EQ(firstFinding(configuration("", brief)), "accepted");
    expectStarts(firstFinding(configuration("", slow + "," + brief)),
                 "$.exceptions[1]: tailLimitMs 900 (milliseconds) must not be larger than "
                 "maximumDeadlineMs 500 (milliseconds) where exceptions \"a\" and \"c\" meet");
}

TEST(PolicySetParser, ReportsEveryFault)
{
    Findings findings;
    readPolicySet(configuration(R"("tailLimitMs": 0, "canary": 1)"), SectionVersion(1), findings);
    EXPECT_EQ(findings.size(), 2U);
}

TEST(PartitionMapParser, ChecksTheMapWhole)
{
    EXPECT_EQ(
        firstMapFinding(partitionMap(shardText("1", "", "m") + "," + shardText("2", "m", ""))),
        "accepted");
    const std::string first = shardText("1", "", "m");
    expectStarts(firstMapFinding(partitionMap(first + "," + shardText("2", "n", ""))),
                 "$.shards[1].firstKey: must be \"m\"");
    expectStarts(firstMapFinding(partitionMap(first + "," + shardText("2", "k", ""))),
                 "$.shards[1].firstKey: must be \"m\"");
    expectStarts(firstMapFinding(partitionMap(first)), "$.shards[0].endKey: must be empty");
    expectStarts(
        firstMapFinding(partitionMap(shardText("1", "", "") + "," + shardText("2", "", ""))),
        "$.shards[0].endKey: must be above");
    expectStarts(firstMapFinding(partitionMap(first + "," + shardText("1", "m", ""))),
                 "$.shards[1].id: \"1\" stands twice");
    expectStarts(firstMapFinding(partitionMap(shardText("1", "", "", ""))),
                 "$.shards[0].replicas: must have 1 to 16");
    expectStarts(firstMapFinding(partitionMap(shardText("1", "", "", R"("y")"))),
                 "$.shards[0].replicas[0]: \"y\" is no server");
    expectStarts(firstMapFinding(partitionMap(shardText("1", "", "", R"("x","x")"))),
                 "$.shards[0].replicas[1]: \"x\" stands twice");
    expectStarts(firstMapFinding(partitionMap(shardText("1", "", ""), "0")),
                 "$.servers[0].connectionCap: must be a whole number from 1 to 100000");
}

TEST(PartitionMapParser, HoldsTheCapsOfServersAgainstTheConfiguration)
{
    Reason reason;
    const auto set =
        parsePolicySet(configuration(R"("coordinators": 3, "connectionsPerServer": 2)"),
                       SectionVersion(1), reason);
    const auto fits =
        parsePartitionMap(partitionMap(shardText("1", "", "")), SectionVersion(1), reason);
    const auto tight =
        parsePartitionMap(partitionMap(shardText("1", "", ""), "7"), SectionVersion(1), reason);
    Findings findings;
    checkConnectionCaps(*set, {*fits}, findings);
    EXPECT_TRUE(findings.empty());
    checkConnectionCaps(*set, {*tight}, findings);
    EXPECT_EQ(findings.size(), 1U);
    findings.clear();
    PartitionMap other = *fits;
    other.service = ServiceId("t");
    checkConnectionCaps(*set, {*fits, other}, findings);
    EXPECT_EQ(findings.size(), 1U);
}

TEST(InstanceListParser, SortsAndRefusesRepeats)
{
    const std::string second =
        R"({"id": "b", "dataCentre": "d", "peerAddress": "127.0.0.1:1", "operatorAddress": "127.0.0.1:2"})";
    const std::string first =
        R"({"id": "a", "dataCentre": "d", "peerAddress": "127.0.0.1:3", "operatorAddress": "[::1]:4", "leaving": true})";
    Reason reason;
    const auto list = parseInstanceList(R"({"instances": [)" + second + "," + first + "]}",
                                        SectionVersion(3), reason);
    ASSERT_TRUE(list) << reason.text;
    EXPECT_EQ(list->instances.at(0).id, InstanceId("a"));
    EXPECT_TRUE(list->instances.at(0).isLeaving);
    EXPECT_FALSE(parseInstanceList(R"({"instances": [)" + second + "," + second + "]}",
                                   SectionVersion(3), reason));
    EXPECT_FALSE(parseInstanceList(R"({"instances": []})", SectionVersion(3), reason));
    EXPECT_FALSE(parseServiceNames(R"({"services": ["a", "a"]})", reason));
    EXPECT_TRUE(parseServiceNames(R"({"services": ["a", "b"]})", reason));
}

TEST(DaemonSettings, ReadsAddressesAndRefusesNames)
{
    const std::string start =
        R"({"instance": "i", "fleet": "f", "dataCentre": "d", "peerKey": "0123456789abcdef",)"
        R"("peerAddress": "127.0.0.1:2", "operatorAddress": "127.0.0.1:3",)"
        R"("platformAddresses": ["127.0.0.1:4"], "workerThreads": 2, "callerAddress": )";
    Reason reason;
    const auto settings = parseDaemonSettings(start + R"("127.0.0.1:1"})", reason);
    ASSERT_TRUE(settings) << reason.text;
    EXPECT_EQ(settings->workerThreads, 2);
    EXPECT_FALSE(parseDaemonSettings(start + R"("localhost:1"})", reason));
    expectStarts(reason.text, "$.callerAddress: must be an IP number and a port");
    EXPECT_FALSE(parseDaemonSettings(start + R"("127.0.0.1:1", "tailLimitMs": 5})", reason));
    expectStarts(reason.text, "$.tailLimitMs: is not known here");
}
