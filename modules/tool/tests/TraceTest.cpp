#include "ToolRun.h"

#include <gtest/gtest.h>

using namespace oleander;

namespace {

constexpr auto firstLog =
    R"(0.5 a-1 {"timeMs":1000,"instance":"a-1","event":402,"name":"ServerEjected","server":"s"}
{"timeMs":9000,"instance":"a-1","event":402,"name":"ServerEjected","server":"t"}
{"timeMs":9500,"instance":"a-1","event":304,"name":"ShardMissing","request":"r1","service":"x"}
not a line at all
{"timeMs":9600,"instance":"a-1","event":302,"name":"QueryFailed","request":"r1","cause":"late"}
{"timeMs":9700,"instance":"a-1","event":303,"name":"QueryAnswered","request":"r2"}
)";
constexpr auto secondLog =
    R"({"timeMs":9200,"instance":"b-1","event":402,"name":"ServerEjected","server":"u"}
)";

TEST(Trace, ShowsTheRequestAndWhatItsInstanceBelieved)
{
    const TemporaryFolder folder;
    const std::string first = folder.write("first.log", firstLog);
    const std::string second = folder.write("second.log", secondLog);
    const ToolRun run = runInTest({"trace", "r1", second, first});
    EXPECT_EQ(run.code, ExitCode::Ok) << run.err;
    EXPECT_EQ(run.out, "9000 a-1   (ServerEjected) server=t\n"
                       "9500 a-1 > ShardMissing service=x\n"
                       "9600 a-1 > QueryFailed cause=late\n");
}

TEST(Trace, SaysWhenThereIsNoSuchRequest)
{
    const TemporaryFolder folder;
    const ToolRun run = runInTest({"trace", "r9", folder.write("first.log", firstLog)});
    EXPECT_EQ(run.code, ExitCode::Finding);
    EXPECT_EQ(runInTest({"trace", "r9"}).code, ExitCode::Usage);
    EXPECT_EQ(runInTest({"trace", "r9", "/nonexistent"}).code, ExitCode::Usage);
}

} // namespace
