#include "support/TestGateway.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

constexpr int shardCount = 4;

struct CallTest : ::testing::Test
{
    CallTest()
    {
        for (int service = 0; service <= shardCount; ++service) {
            for (int server = 0; server < 2; ++server) {
                const ServerRegistration registration = registrationOf(service, server);
                instance.fleet.onRegistration(registration.id, &registration);
            }
        }
        GatewayConfiguration configuration = testConfiguration(shardCount);
        configuration.routes[0].minimumShare = 0.75;
        instance.gateway.configure(std::move(configuration));
        scheduler.runFor(seconds(1));
    }

    void changeBehaviourOf(int service, const std::function<void(ServerBehaviour &)> &change)
    {
        for (int server = 0; server < 2; ++server)
            change(servers.behaviour(addressOf(service, server)));
    }

    int executedCount(int service)
    {
        return servers.counters(addressOf(service, 0)).executed
               + servers.counters(addressOf(service, 1)).executed;
    }

    VirtualScheduler scheduler;
    SimulatedServers servers{scheduler, 1};
    TestInstance instance{scheduler, servers, {}, 2};
};

TEST_F(CallTest, GatheredAnswerHoldsAReceiptOfEachShard)
{
    const auto received = instance.sendRequest("r", "/gather/x", seconds(3));
    scheduler.runFor(milliseconds(100));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(received->missingShards, 0U);
    EXPECT_EQ(received->answer->fields.size(), 1U + shardCount);
}

TEST_F(CallTest, InstanceWithoutAConfigurationTellsCallersWhenToComeBack)
{
    TestInstance starting{scheduler, servers, {}, 3};
    const auto received = starting.sendRequest("r", "/gather/x", seconds(3));
    scheduler.runFor(milliseconds(1));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 503);
    const HttpField retryAfter{"Retry-After", "1.00"};
    EXPECT_EQ(received->answer->fields, std::vector{retryAfter});
}

TEST_F(CallTest, PartialAnswerIsSentAtTheObjectiveAndCountsMissingShards)
{
    changeBehaviourOf(0, [](ServerBehaviour &behaviour) { behaviour.slowdown = 200; });
    const auto received = instance.sendRequest("r", "/gather/x", seconds(3));
    scheduler.runFor(seconds(4));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(received->missingShards, 1U);
    EXPECT_LE(received->latency, milliseconds(200));
}

TEST_F(CallTest, GatheredAnswerBelowTheMinimumShareFails)
{
    for (int service = 0; service < 2; ++service)
        changeBehaviourOf(service,
                          [](ServerBehaviour &behaviour) { behaviour.isUnresponsive = true; });
    const auto received = instance.sendRequest("r", "/gather/x", seconds(3));
    scheduler.runFor(seconds(4));
    ASSERT_TRUE(received->answer);
    EXPECT_NE(received->answer->status, 200);
    EXPECT_NE(received->answer->status, 503) << "two shards executed the request";
}

TEST_F(CallTest, GatherIsRefusedImmediatelyWhenTooManyShardsHaveNoServer)
{
    for (int service = 0; service < 2; ++service) {
        for (int server = 0; server < 2; ++server)
            instance.fleet.onRegistration(registrationOf(service, server).id, nullptr);
    }
    const auto received = instance.sendRequest("r", "/gather/x", seconds(3));
    scheduler.runFor(milliseconds(1));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 503);
    for (int service = 2; service < shardCount; ++service)
        EXPECT_EQ(executedCount(service), 0);
}

TEST_F(CallTest, NonIdempotentRequestIsNotRetriedAfterALostReply)
{
    changeBehaviourOf(shardCount, [](ServerBehaviour &behaviour) { behaviour.lostReplyRate = 1; });
    for (int number = 0; number < 20; ++number) {
        const auto received =
            instance.sendRequest("r" + std::to_string(number), "/once/x", seconds(15), "POST");
        scheduler.runFor(seconds(1));
        ASSERT_TRUE(received->answer);
        EXPECT_EQ(received->answer->status, 502) << "the request may have been executed";
        EXPECT_EQ(executedCount(shardCount), number + 1);
    }
}

TEST_F(CallTest, RefusedNonIdempotentRequestWasNotExecuted)
{
    changeBehaviourOf(shardCount, [](ServerBehaviour &behaviour) { behaviour.refusalRate = 1; });
    const auto received = instance.sendRequest("r", "/once/x", seconds(15), "POST");
    scheduler.runFor(seconds(16));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 503);
    EXPECT_LE(received->latency, milliseconds(800));
    EXPECT_EQ(executedCount(shardCount), 0);
}

// Guards against a late second copy of a rejection that counts as the reply to the same request,
// sent again on the same connection: the request would be executed twice.
TEST_F(CallTest, RequestIsNotSentAgainOnTheSameConnection)
{
    instance.policy.extraAttempts.allowance = 1000;
    changeBehaviourOf(shardCount, [](ServerBehaviour &behaviour) { behaviour.refusalRate = 0.9; });
    for (int number = 0; number < 20; ++number) {
        instance.sendRequest("r" + std::to_string(number), "/once/x", seconds(15), "POST");
        scheduler.runFor(seconds(2));
    }
    int arrived = 0;
    for (int server = 0; server < 2; ++server) {
        const ServerCounters &counters = servers.counters(addressOf(shardCount, server));
        EXPECT_EQ(counters.repeatedOnConnection, 0);
        arrived += counters.arrived;
    }
    EXPECT_GT(arrived, 60) << "requests are sent again on other connections";
}

TEST_F(CallTest, NonIdempotentRequestIsRetriedAfterAServerRefusesIt)
{
    servers.behaviour(addressOf(shardCount, 0)).refusalRate = 1;
    instance.policy.extraAttempts.allowance = 100;
    for (int number = 0; number < 10; ++number) {
        const auto received =
            instance.sendRequest("r" + std::to_string(number), "/once/x", seconds(15), "POST");
        scheduler.runFor(seconds(2));
        ASSERT_TRUE(received->answer);
        EXPECT_EQ(received->answer->status, 200);
    }
    EXPECT_EQ(executedCount(shardCount), 10);
}

TEST_F(CallTest, RequestIsCancelledAtTheServerWhenTheCallerDisconnects)
{
    servers.executionTime = [](const CallerRequest &, std::mt19937_64 &) { return seconds(5); };
    const auto received = instance.sendRequest("r", "/one/x", seconds(15));
    scheduler.runFor(milliseconds(100));
    std::exchange(received->call, nullptr)->onCallerDisconnected();
    scheduler.runFor(milliseconds(500));
    EXPECT_EQ(servers.counters(addressOf(shardCount, 0)).cancelled
                  + servers.counters(addressOf(shardCount, 1)).cancelled,
              1);
}

TEST_F(CallTest, RequestIsExecutedByNoMoreServersThanTheRouteAllows)
{
    for (int server = 2; server < 6; ++server) {
        const ServerRegistration registration = registrationOf(shardCount, server);
        instance.fleet.onRegistration(registration.id, &registration);
    }
    for (int server = 0; server < 6; ++server)
        servers.behaviour(addressOf(shardCount, server)).failureRate = 1;
    const auto received = instance.sendRequest("r", "/one/x", seconds(15));
    scheduler.runFor(seconds(16));
    ASSERT_TRUE(received->answer);
    int executingServers = 0;
    for (int server = 0; server < 6; ++server)
        executingServers += servers.counters(addressOf(shardCount, server)).executed > 0 ? 1 : 0;
    EXPECT_LE(executingServers, 2);
}

// Guards against hedges between two servers that are both slow: they doubled the load that made the
// servers slow.
TEST_F(CallTest, NoHedgeToAServerThatIsKnownToBeAsSlow)
{
    const auto arrivedAtFirstShard = [this] {
        return servers.counters(addressOf(0, 0)).arrived
               + servers.counters(addressOf(0, 1)).arrived;
    };
    const auto sendRequests = [this](int count) {
        for (int number = 0; number < count; ++number) {
            instance.sendRequest("r" + std::to_string(number), "/gather/x", seconds(3));
            scheduler.runFor(milliseconds(500));
        }
    };
    instance.policy.extraAttempts.allowance = 100;
    sendRequests(40);
    changeBehaviourOf(0, [](ServerBehaviour &behaviour) { behaviour.slowdown = 25; });
    sendRequests(10);
    const int before = arrivedAtFirstShard();
    sendRequests(10);
    EXPECT_EQ(arrivedAtFirstShard() - before, 10);
    // When only one server stalls, the request is hedged to the other one, which is not slow.
    changeBehaviourOf(0, [](ServerBehaviour &behaviour) { behaviour.slowdown = 1; });
    scheduler.runFor(seconds(60));
    sendRequests(40);
    servers.behaviour(addressOf(0, 0)).pausedUntil = scheduler.now() + seconds(5);
    const auto received = instance.sendRequest("last", "/gather/x", seconds(3));
    scheduler.runFor(milliseconds(200));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->missingShards, 0U);
}

TEST_F(CallTest, RequestEndsAtTheRoutesTimeout)
{
    GatewayConfiguration configuration = testConfiguration(shardCount, 2);
    configuration.routes[1].timeout = milliseconds(600);
    instance.gateway.configure(std::move(configuration));
    changeBehaviourOf(shardCount,
                      [](ServerBehaviour &behaviour) { behaviour.isUnresponsive = true; });
    const auto received = instance.sendRequest("r", "/one/x", seconds(15));
    scheduler.runFor(seconds(2));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 504);
    EXPECT_LE(received->latency, milliseconds(700));
}

// Guards against a planned stop that cuts requests at its end instead of answering them.
TEST_F(CallTest, RequestsInProgressAreAnsweredWhenTheProcessStops)
{
    servers.executionTime = [](const CallerRequest &, std::mt19937_64 &) { return seconds(9); };
    const auto gathered = instance.sendRequest("r1", "/gather/x", seconds(15));
    const auto idempotent = instance.sendRequest("r2", "/one/x", seconds(15));
    scheduler.runFor(milliseconds(100));
    const TimePoint end = scheduler.now() + milliseconds(1500);
    instance.gateway.beginStop(end);
    const auto claim = instance.sendRequest("r3", "/once/x", seconds(15), "POST");
    scheduler.runFor(milliseconds(1000));
    const int executed = executedCount(shardCount);
    // Too late to be answered within the objective.
    const auto late = instance.sendRequest("r4", "/once/x", seconds(15), "POST");
    scheduler.runFor(milliseconds(1));
    ASSERT_TRUE(late->answer);
    EXPECT_EQ(late->answer->status, 503);
    EXPECT_EQ(late->answer->fields.front().name, "Retry-After");
    EXPECT_EQ(executedCount(shardCount), executed);
    scheduler.runFor(end - scheduler.now() + microseconds(1));
    for (const auto &received : {gathered, idempotent, claim}) {
        ASSERT_TRUE(received->answer) << received->id;
        EXPECT_EQ(received->answer->status, 504) << received->id;
    }
}

TEST_F(CallTest, OlderConfigurationIsIgnored)
{
    instance.gateway.configure(testConfiguration(shardCount, 5));
    GatewayConfiguration older = testConfiguration(shardCount, 4);
    older.routes.clear();
    instance.gateway.configure(std::move(older));
    EXPECT_EQ(instance.gateway.routes()->version().value(), 5U);
}

TEST_F(CallTest, UnknownRouteIsNotFoundAndMissingConfigurationIsUnavailable)
{
    const auto unknown = instance.sendRequest("r", "/nowhere/x", seconds(1));
    TestInstance fresh(scheduler, servers, {}, 3);
    const auto early = fresh.sendRequest("r", "/one/x", seconds(1));
    scheduler.runFor(milliseconds(1));
    EXPECT_EQ(unknown->answer->status, 404);
    EXPECT_EQ(early->answer->status, 503);
}

TEST_F(CallTest, RequestsAreDistributedByWeight)
{
    GatewayConfiguration configuration = testConfiguration(shardCount, 2);
    configuration.routes[1].services = {{serviceNamed(0), 3}, {serviceNamed(1), 1}};
    instance.gateway.configure(std::move(configuration));
    for (int number = 0; number < 400; ++number) {
        instance.sendRequest("r" + std::to_string(number), "/one/x", seconds(15));
        scheduler.runFor(milliseconds(20));
    }
    EXPECT_NEAR(executedCount(0), 300, 4);
    EXPECT_NEAR(executedCount(1), 100, 4);
}

} // namespace
