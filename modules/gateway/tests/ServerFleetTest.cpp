#include "support/TestGateway.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

constexpr int shards = 2;

struct ServerFleetTest : ::testing::Test
{
    ServerFleetTest()
    {
        for (int service = 0; service <= shards; ++service) {
            for (int server = 0; server < 2; ++server) {
                const ServerRegistration registration = registrationOf(service, server);
                instance.fleet.onRegistration(registration.id, &registration);
            }
        }
        instance.gateway.configure(plainConfiguration(shards));
        scheduler.runFor(seconds(1));
    }

    VirtualScheduler scheduler;
    SimulatedServers servers{scheduler, 1};
    TestInstance instance{scheduler, servers, {}, 2};
};

// A server was taken away and its last request ended while the request's caller had already left;
// stopping the request then reached for the server that was gone.
TEST_F(ServerFleetTest, CallerLeavesWhileItsServerIsTakenAway)
{
    servers.workTime = [](const CallerRequest &, std::mt19937_64 &) { return milliseconds(200); };
    const auto received = instance.ask("r", "/one/x", seconds(15));
    scheduler.runFor(milliseconds(100));
    std::exchange(received->call, nullptr)->callerLeft();
    for (int server = 0; server < 2; ++server)
        instance.fleet.onRegistration(registrationOf(shards, server).id, nullptr);
    scheduler.runFor(seconds(2));
    EXPECT_FALSE(received->answer);
    EXPECT_EQ(instance.gateway.activeCalls(), 0U);
}

TEST_F(ServerFleetTest, EachServerGetsItsFirstConnectionBeforeRequestsCome)
{
    EXPECT_EQ(servers.openLinks(), (shards + 1) * 2);
}

TEST_F(ServerFleetTest, DrainingServerGetsNoNewRequest)
{
    ServerRegistration leaving = registrationOf(shards, 0);
    leaving.isDraining = true;
    instance.fleet.onRegistration(leaving.id, &leaving);
    for (int number = 0; number < 50; ++number) {
        instance.ask("r" + std::to_string(number), "/one/x", seconds(15));
        scheduler.runFor(milliseconds(20));
    }
    EXPECT_EQ(servers.tally(addressOf(shards, 0)).arrived, 0);
    EXPECT_EQ(servers.tally(addressOf(shards, 1)).arrived, 50);
}

TEST_F(ServerFleetTest, ServerThatRefusesConnectionsIsAvoidedAndNothingIsLost)
{
    servers.crash(addressOf(shards, 0));
    scheduler.runFor(milliseconds(10));
    for (int number = 0; number < 100; ++number) {
        const auto received = instance.ask("r" + std::to_string(number), "/one/x", seconds(15));
        scheduler.runFor(milliseconds(50));
        ASSERT_TRUE(received->answer);
        EXPECT_EQ(received->answer->status, 200);
    }
}

// Calls that wait for a shard whose servers are both down tried them again and again: thousands of
// refused connections a second (incident of AMMS).
TEST_F(ServerFleetTest, ServersThatAreDownAreNotStormedByWaitingCalls)
{
    servers.crash(addressOf(shards, 0));
    servers.crash(addressOf(shards, 1));
    scheduler.runFor(milliseconds(10));
    const int before = servers.openings();
    for (int number = 0; number < 100; ++number) {
        instance.ask("r" + std::to_string(number), "/one/x", seconds(15));
        scheduler.runFor(milliseconds(20));
    }
    EXPECT_LE(servers.openings() - before, 30);
}

TEST_F(ServerFleetTest, AddressThatAnotherServerTookOverGetsNothingMore)
{
    servers.conduct(addressOf(shards, 0)).isMisplaced = true;
    for (int number = 0; number < 60; ++number) {
        const auto received = instance.ask("r" + std::to_string(number), "/once/x", seconds(15));
        scheduler.runFor(milliseconds(50));
        ASSERT_TRUE(received->answer);
        EXPECT_EQ(received->answer->status, 200);
    }
    EXPECT_LE(servers.tally(addressOf(shards, 0)).arrived, 1);
}

} // namespace
