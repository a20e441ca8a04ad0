#include "ToolRun.h"

#include <gtest/gtest.h>

#include <filesystem>

using namespace oleander;

namespace {

/// One change to one file of an example, and the fault that it must bring.
struct Breakage
{
    std::string file;
    std::string from;
    std::string to;
    std::string fault;
};

const std::vector<Breakage> breakages{
    {"config.json", "\"tailLimitMs\": 60", "\"tailLimitMs\": 20000",
     "tailLimitMs 20000 (milliseconds) must not be larger than maximumDeadlineMs 10000"},
    {"config.json", "\"client-notes\"", "\"client-note\"",
     "$.exceptions[0].covers.backend: no backend \"client-note\" is published"},
    {"config.json", "{ \"backend\": \"client-notes\" }",
     "{ \"backend\": \"client-notes\", \"service\": \"studio-billing\" }",
     "$.exceptions[0].covers: covers nothing: service \"studio-billing\" belongs to backend"},
    {"config.json", "\"caller\": \"label-export\" }",
     "\"dataCentre\": \"qro-b\", \"instance\": \"amms-01\" }",
     "$.exceptions[2].covers: covers nothing: instance \"amms-01\" is in data centre"},
    {"config.json", "\"backend\": \"session-dashboard\" },",
     "\"backend\": \"session-dashboard\", \"caller\": \"mastering-console\" },\n"
     "\"reason\": \"r\", \"values\": { \"urgentCallers\": [\"a\"] } },\n"
     "{ \"name\": \"wider\", \"covers\": { \"backend\": \"session-dashboard\" },",
     "$.exceptions[3]: is never in force: later exceptions cover at least as much"},
    {"config.json", "\"connectionsPerServer\": 4,", "\"connectionsPerServer\": 23,",
     "the fleet would open 46 connections, but may use 45"},
    {"config.json", "\"coordinators\": 4", "\"coordinators\": 21",
     "wants 21 coordinators, but only 20 instances are listed"},
    {"config.json", "\"fleet\": \"amms\"", "\"fleet\": \"fotolector\"",
     "$.fleet: is \"amms\", but the configuration is for \"fotolector\""},
    {"services.json", "\"client-notes\",", "", "\"client-notes\" is not in the list of services"},
    {"services.json", "\"client-notes\"", "\"client-notes-2\"",
     "\"client-notes-2\" has no partition map"},
    {"instances.json", "\"amms-07\"", "\"amms-77\"", "$.instance: is not in the list of instances"},
    {"instances.json", "\"127.0.0.1:7103\"", "\"127.0.0.1:7993\"",
     "$.peerAddress: differs from the list of instances"},
    {"partitions/label-portal.json", "\"firstKey\": \"0888\"", "\"firstKey\": \"0999\"",
     "$.shards[1].firstKey: must be \"0888\""},
    {"partitions/label-portal.json", "\"service\": \"label-portal\"",
     "\"service\": \"client-notes\"", "the file is named for another service"},
    {"partitions/studio-billing.json", "\"slots\": 4", "\"slots\": 0",
     "$.servers[0].slots: must be a whole number from 1 to 1024"},
    {"daemons/amms-01.json", "\"workerThreads\": 2", "\"workerThreads\": 2.5",
     "$.workerThreads: must be a whole number from 1 to 256 (threads)"},
};

void replaceFirst(std::string &text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    ASSERT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
}

} // namespace

TEST(Check, PassesTheExamples)
{
    for (const char *fleet : {"amms", "fotolector"}) {
        const ToolRun run = runInTest({"check", examplePath(fleet)});
        EXPECT_EQ(run.code, ExitCode::Ok) << run.out << run.err;
        EXPECT_EQ(run.out, "27 files, 0 faults\n");
    }
}

TEST(Check, FindsEachFaultInABrokenCopyOfAnExample)
{
    for (const Breakage &breakage : breakages) {
        const TemporaryFolder folder;
        std::filesystem::copy(examplePath("amms"), folder.path() + "/amms",
                              std::filesystem::copy_options::recursive);
        std::string text = fileText(examplePath("amms/" + breakage.file));
        replaceFirst(text, breakage.from, breakage.to);
        static_cast<void>(folder.write("amms/" + breakage.file, text));
        const ToolRun run = runInTest({"check", folder.path()});
        EXPECT_EQ(run.code, ExitCode::Finding) << breakage.fault;
        EXPECT_NE(run.out.find(breakage.fault), std::string::npos) << breakage.fault << "\n"
                                                                   << run.out;
        EXPECT_NE(run.out.find(breakage.file.substr(0, 4)), std::string::npos);
    }
}

TEST(Check, NamesLineAndColumnInTheProductsOwnFiles)
{
    const TemporaryFolder folder;
    const std::string bad = folder.write("bad.json", "{\"defaults\": {\n  \"hedging\": tru}}");
    EXPECT_NE(runInTest({"check", bad}).out.find("line 2, column 17"), std::string::npos)
        << runInTest({"check", bad}).out;
    const std::string text =
        folder.write("text.json", "{\"fleet\": \"f\",\n \"defaults\": {\n  \"hedging\": 3}}");
    EXPECT_NE(runInTest({"check", text}).out.find("text.json:3:3: $.defaults.hedging"),
              std::string::npos)
        << runInTest({"check", text}).out;
}

TEST(Check, ReadsTheSettingsOfGateways)
{
    const TemporaryFolder folder;
    const std::string file = folder.write(
        "gateway.json", "{\"registryAddress\": \"127.0.0.1:2379\",\n \"descriptors\": 3}");
    const ToolRun run = runInTest({"check", file});
    EXPECT_EQ(run.code, ExitCode::Finding);
    EXPECT_NE(run.out.find("gateway.json:2:2: $.descriptors: must be a whole number from 64"),
              std::string::npos)
        << run.out;
}

// A platform whose documents are not known must not be taken for a version in force.
TEST(Check, RefusesAVersionInForceOfAnUnknownPlatform)
{
    const std::string config = examplePath("amms/config.json");
    EXPECT_EQ(runInTest({"check", config, "--in-force", config}).code, ExitCode::Usage);
}

TEST(Check, ReportsAllFaultsAsJsonAndTellsFilesApart)
{
    const TemporaryFolder folder;
    const std::string config = folder.write("a.json", R"({"fleet": 1, "defaults": {"x": 1}})");
    const std::string other = folder.write("b.json", R"({"something": 1})");
    const ToolRun run = runInTest({"check", config, other, "--json"});
    EXPECT_EQ(run.code, ExitCode::Finding);
    EXPECT_NE(run.out.find("\"path\": \"$.fleet\""), std::string::npos) << run.out;
    EXPECT_NE(run.out.find("\"path\": \"$.defaults.x\""), std::string::npos);
    EXPECT_NE(run.out.find("is no configuration, list of instances"), std::string::npos);
}

TEST(Check, SaysWrongUseApartFromFaults)
{
    EXPECT_EQ(runInTest({"check"}).code, ExitCode::Usage);
    EXPECT_EQ(runInTest({"check", "/does/not/exist.json"}).code, ExitCode::Usage);
    EXPECT_EQ(runInTest({"check", "--no-such-option"}).code, ExitCode::Usage);
    EXPECT_EQ(runInTest({"no-such-command"}).code, ExitCode::Usage);
    EXPECT_EQ(runInTest({}).code, ExitCode::Usage);
}

TEST(Tool, EveryCommandHasHelpAndJson)
{
    for (const char *command : {"check", "diff", "explain", "query", "status", "burn"}) {
        const ToolRun run = runInTest({command, "--help"});
        EXPECT_EQ(run.code, ExitCode::Ok);
        EXPECT_NE(run.out.find("--json"), std::string::npos) << command;
        EXPECT_NE(run.out.find("Exit codes: 0 "), std::string::npos) << command;
    }
}
