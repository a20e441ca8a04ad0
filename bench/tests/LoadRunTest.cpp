#include "Asio.h"

#include <oleander/adapters/callers/CallerServer.h>
#include <oleander/adapters/servers/AsioServerNetwork.h>
#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/adapters/time/SeededRandom.h>
#include <oleander/bench/LoadRun.h>
#include <oleander/bench/UnmanagedEntry.h>
#include <oleander/standins/ServerFleet.h>

#include <gtest/gtest.h>

#include <thread>

using namespace oleander;
using namespace oleander::bench;

namespace {

class NoLog final : public EventLog
{
public:
    void record(EventId, const RequestId &, std::string_view) override {}
};

standins::ServerShape quickServers()
{
    standins::ServerShape shape;
    shape.serviceTime = milliseconds(1);
    return shape;
}

/// Four shards on eight stand-in servers, and the entry without policy before them.
struct LoadRunTest : ::testing::Test
{
    void SetUp() override
    {
        map.service = ServiceId("service");
        map.snapshot = SnapshotId(7);
        Reason reason;
        for (int number = 0; number < 8; ++number)
            addServer(number, reason);
        const auto admin = fleet.listenAdmin("127.0.0.1:0", reason);
        ASSERT_TRUE(admin) << reason.text;
        entry = std::make_unique<UnmanagedEntry>(UnmanagedEntry::Ports{timers, servers, random},
                                                 map, 2);
        callers = std::make_unique<CallerServer>(context, *entry, log);
        const auto port = callers->listen("127.0.0.1:0", reason);
        ASSERT_TRUE(port) << reason.text;
        plan.targets = {"127.0.0.1:" + std::to_string(*port)};
        plan.serversAdmin = "127.0.0.1:" + std::to_string(*admin);
        thread = std::thread([this]() { context.run(); });
    }

    void TearDown() override
    {
        context.stop();
        if (thread.joinable())
            thread.join();
    }

    void addServer(int number, Reason &reason)
    {
        Server server;
        server.id = ServerId("server-" + std::to_string(number));
        server.address = "127.0.0.1:0";
        server.slots = 2;
        server.connectionCap = 10;
        const auto port = fleet.addServer(server, reason);
        ASSERT_TRUE(port) << reason.text;
        server.address = "127.0.0.1:" + std::to_string(*port);
        map.servers[server.id] = server;
        if (number % 2 == 0)
            map.shards.push_back({ShardId("s" + std::to_string(number / 2)), "", "", {}});
        map.shards.back().replicas.push_back(server.id);
    }

    LoadResult run()
    {
        plan.warmUp = milliseconds(100);
        plan.length = milliseconds(400);
        QueryClass query;
        query.caller = "desk";
        query.backend = "backend";
        query.rate = 200;
        query.shards = {"s0", "s1", "s2", "s3"};
        plan.classes = {query};
        Reason reason;
        auto result = runLoad(plan, reason);
        EXPECT_TRUE(result) << reason.text;
        return std::move(result).value_or(LoadResult{});
    }

    asio::io_context context{1};
    standins::ServerFleet fleet{quickServers(), 1};
    PartitionMap map;
    AsioTimerService timers{context};
    AsioServerNetwork servers{context, {}};
    SeededRandom random{1};
    NoLog log;
    std::unique_ptr<UnmanagedEntry> entry;
    std::unique_ptr<CallerServer> callers;
    LoadPlan plan;
    std::thread thread;
};

} // namespace

TEST_F(LoadRunTest, EveryAnswerOfWellServersIsWhole)
{
    const auto result = run();
    ASSERT_EQ(result.classes.size(), 1U);
    const auto &counts = result.classes.front();
    EXPECT_GT(counts.sent, 0U);
    EXPECT_EQ(counts.answered, counts.sent);
    EXPECT_TRUE(counts.faults.empty());
    EXPECT_TRUE(result.notes.empty());
}

TEST_F(LoadRunTest, ServersThatAnswerFromAnotherSnapshotAreFoundOut)
{
    ASSERT_TRUE(fleet.act("server-0", "otherSnapshot?on=1"));
    ASSERT_TRUE(fleet.act("server-1", "otherSnapshot?on=1"));
    const auto result = run();
    ASSERT_EQ(result.classes.size(), 1U);
    EXPECT_TRUE(result.classes.front().faults.contains("document of another snapshot or query"));
}
