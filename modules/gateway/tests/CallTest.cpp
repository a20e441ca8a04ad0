#include "support/TestGateway.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

constexpr int shards = 4;

struct CallTest : ::testing::Test
{
    CallTest()
    {
        for (int service = 0; service <= shards; ++service) {
            for (int server = 0; server < 2; ++server) {
                const ServerRegistration registration = registrationOf(service, server);
                instance.fleet.onRegistration(registration.id, &registration);
            }
        }
        GatewayConfiguration configuration = plainConfiguration(shards);
        configuration.routes[0].minimumShare = 0.75;
        instance.gateway.configure(std::move(configuration));
        scheduler.runFor(seconds(1));
    }

    void forAllServers(int service, const std::function<void(ServerConduct &)> &change)
    {
        for (int server = 0; server < 2; ++server)
            change(servers.conduct(addressOf(service, server)));
    }

    int executedAt(int service)
    {
        return servers.tally(addressOf(service, 0)).executed
               + servers.tally(addressOf(service, 1)).executed;
    }

    VirtualScheduler scheduler;
    SimulatedServers servers{scheduler, 1};
    TestInstance instance{scheduler, servers, {}, 2};
};

TEST_F(CallTest, GatheredAnswerNamesAPartOfEachShard)
{
    const auto received = instance.ask("r", "/gather/x", seconds(3));
    scheduler.runFor(milliseconds(100));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(received->missing, 0U);
    EXPECT_EQ(received->answer->fields.size(), 1U + shards);
}

TEST_F(CallTest, PartialAnswerGoesAtTheObjectiveAndStatesWhatIsMissing)
{
    forAllServers(0, [](ServerConduct &conduct) { conduct.slowness = 200; });
    const auto received = instance.ask("r", "/gather/x", seconds(3));
    scheduler.runFor(seconds(4));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(received->missing, 1U);
    EXPECT_LE(received->after, milliseconds(200));
}

TEST_F(CallTest, AnswerBelowTheSmallestShareIsNoSuccess)
{
    for (int service = 0; service < 2; ++service)
        forAllServers(service, [](ServerConduct &conduct) { conduct.isDark = true; });
    const auto received = instance.ask("r", "/gather/x", seconds(3));
    scheduler.runFor(seconds(4));
    ASSERT_TRUE(received->answer);
    EXPECT_NE(received->answer->status, 200);
    EXPECT_NE(received->answer->status, 503) << "two shards did execute it";
}

TEST_F(CallTest, GatherIsRefusedAtOnceWhenTooManyShardsHaveNoServer)
{
    for (int service = 0; service < 2; ++service) {
        for (int server = 0; server < 2; ++server)
            instance.fleet.onRegistration(registrationOf(service, server).id, nullptr);
    }
    const auto received = instance.ask("r", "/gather/x", seconds(3));
    scheduler.runFor(milliseconds(1));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 503);
    for (int service = 2; service < shards; ++service)
        EXPECT_EQ(executedAt(service), 0);
}

TEST_F(CallTest, RequestThatMayRunOnceIsNotSentAgainAfterItsAnswerIsLost)
{
    forAllServers(shards, [](ServerConduct &conduct) { conduct.lostShare = 1; });
    for (int number = 0; number < 20; ++number) {
        const auto received =
            instance.ask("r" + std::to_string(number), "/once/x", seconds(15), "POST");
        scheduler.runFor(seconds(1));
        ASSERT_TRUE(received->answer);
        EXPECT_EQ(received->answer->status, 502) << "it may have run, so nothing is promised";
        EXPECT_EQ(executedAt(shards), number + 1);
    }
}

TEST_F(CallTest, RefusalOfARequestThatMayRunOnceIsTrue)
{
    forAllServers(shards, [](ServerConduct &conduct) { conduct.refusedShare = 1; });
    const auto received = instance.ask("r", "/once/x", seconds(15), "POST");
    scheduler.runFor(seconds(16));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 503);
    EXPECT_LE(received->after, milliseconds(800));
    EXPECT_EQ(executedAt(shards), 0);
}

TEST_F(CallTest, RequestThatMayRunOnceMovesOnAfterAProofThatItHasNotRun)
{
    servers.conduct(addressOf(shards, 0)).refusedShare = 1;
    instance.policy.extraAttempts.allowance = 100;
    for (int number = 0; number < 10; ++number) {
        const auto received =
            instance.ask("r" + std::to_string(number), "/once/x", seconds(15), "POST");
        scheduler.runFor(seconds(2));
        ASSERT_TRUE(received->answer);
        EXPECT_EQ(received->answer->status, 200);
    }
    EXPECT_EQ(executedAt(shards), 10);
}

TEST_F(CallTest, CallerThatLeavesGetsItsServerStopped)
{
    servers.workTime = [](const CallerRequest &, std::mt19937_64 &) { return seconds(5); };
    const auto received = instance.ask("r", "/one/x", seconds(15));
    scheduler.runFor(milliseconds(100));
    std::exchange(received->call, nullptr)->onCallerDisconnected();
    scheduler.runFor(milliseconds(500));
    EXPECT_EQ(servers.tally(addressOf(shards, 0)).dropped
                  + servers.tally(addressOf(shards, 1)).dropped,
              1);
}

TEST_F(CallTest, NoMoreServersExecuteARequestThanTheRouteAllows)
{
    for (int server = 2; server < 6; ++server) {
        const ServerRegistration registration = registrationOf(shards, server);
        instance.fleet.onRegistration(registration.id, &registration);
    }
    for (int server = 0; server < 6; ++server)
        servers.conduct(addressOf(shards, server)).failedShare = 1;
    const auto received = instance.ask("r", "/one/x", seconds(15));
    scheduler.runFor(seconds(16));
    ASSERT_TRUE(received->answer);
    int executors = 0;
    for (int server = 0; server < 6; ++server)
        executors += servers.tally(addressOf(shards, server)).executed > 0 ? 1 : 0;
    EXPECT_LE(executors, 2);
}

// Both servers of a shard were slow, and second sendings to them doubled the load that made them
// late (grown deployment, quiet day).
TEST_F(CallTest, NoSecondSendingToAServerThatIsKnownToBeAsSlow)
{
    const auto arrivedAtFirstShard = [this] {
        return servers.tally(addressOf(0, 0)).arrived + servers.tally(addressOf(0, 1)).arrived;
    };
    const auto ask = [this](int count) {
        for (int number = 0; number < count; ++number) {
            instance.ask("r" + std::to_string(number), "/gather/x", seconds(3));
            scheduler.runFor(milliseconds(500));
        }
    };
    instance.policy.extraAttempts.allowance = 100;
    ask(40);
    forAllServers(0, [](ServerConduct &conduct) { conduct.slowness = 25; });
    ask(10);
    const int before = arrivedAtFirstShard();
    ask(10);
    EXPECT_EQ(arrivedAtFirstShard() - before, 10);
    // One that stands still has a second server that is as fast as ever.
    forAllServers(0, [](ServerConduct &conduct) { conduct.slowness = 1; });
    scheduler.runFor(seconds(60));
    ask(40);
    servers.conduct(addressOf(0, 0)).pausedUntil = scheduler.now() + seconds(5);
    const auto received = instance.ask("last", "/gather/x", seconds(3));
    scheduler.runFor(milliseconds(200));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->missing, 0U);
}

TEST_F(CallTest, RequestHeldToTheRoutesTimeoutEndsThen)
{
    GatewayConfiguration configuration = plainConfiguration(shards, 2);
    configuration.routes[1].timeout = milliseconds(600);
    instance.gateway.configure(std::move(configuration));
    forAllServers(shards, [](ServerConduct &conduct) { conduct.isDark = true; });
    const auto received = instance.ask("r", "/one/x", seconds(15));
    scheduler.runFor(seconds(2));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 504);
    EXPECT_LE(received->after, milliseconds(700));
}

TEST_F(CallTest, OlderConfigurationIsDropped)
{
    instance.gateway.configure(plainConfiguration(shards, 5));
    GatewayConfiguration older = plainConfiguration(shards, 4);
    older.routes.clear();
    instance.gateway.configure(std::move(older));
    EXPECT_EQ(instance.gateway.routes()->version().value(), 5U);
}

TEST_F(CallTest, UnknownRouteIsNotFoundAndWithoutConfigurationNothingIsClaimed)
{
    const auto unknown = instance.ask("r", "/nowhere/x", seconds(1));
    TestInstance fresh(scheduler, servers, {}, 3);
    const auto early = fresh.ask("r", "/one/x", seconds(1));
    scheduler.runFor(milliseconds(1));
    EXPECT_EQ(unknown->answer->status, 404);
    EXPECT_EQ(early->answer->status, 503);
}

TEST_F(CallTest, WeightsShareOutRequests)
{
    GatewayConfiguration configuration = plainConfiguration(shards, 2);
    configuration.routes[1].services = {{serviceNamed(0), 3}, {serviceNamed(1), 1}};
    instance.gateway.configure(std::move(configuration));
    for (int number = 0; number < 400; ++number) {
        instance.ask("r" + std::to_string(number), "/one/x", seconds(15));
        scheduler.runFor(milliseconds(20));
    }
    EXPECT_NEAR(executedAt(0), 300, 4);
    EXPECT_NEAR(executedAt(1), 100, 4);
}

} // namespace
