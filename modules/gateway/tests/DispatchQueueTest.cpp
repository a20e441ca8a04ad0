#include "support/TestGateway.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

/// One instance and one server with two slots; "/high/" has priority 0 and "/low/" priority 1.
struct DispatchQueueTest : ::testing::Test
{
    DispatchQueueTest() { start(instance); }

    static void start(TestInstance &started)
    {
        const ServerRegistration registration = registrationOf(0, 0);
        started.fleet.onRegistration(registration.id, &registration);
        GatewayConfiguration configuration = testConfiguration(0);
        Route low = configuration.routes[1];
        low.id = RouteId("low");
        low.prefix = "/low/";
        low.priority = 1;
        Route high = low;
        high.id = RouteId("high");
        high.prefix = "/high/";
        high.priority = 0;
        high.objective = milliseconds(50);
        configuration.routes = {low, high};
        // Permits twelve connections, so that requests wait for room only.
        configuration.services[0].connectionCap = 1000;
        started.gateway.configure(std::move(configuration));
    }

    std::vector<std::shared_ptr<ReceivedAnswer>> sendLow(int count)
    {
        std::vector<std::shared_ptr<ReceivedAnswer>> received;
        received.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number)
            received.push_back(
                instance.sendRequest("low-" + std::to_string(++m_lastId), "/low/x", seconds(10)));
        return received;
    }

    DispatchQueue &queue() { return *instance.fleet.pool(serviceNamed(0)).dispatch; }
    const ServerCounters &counters() { return servers.counters(addressOf(0, 0)); }

    VirtualScheduler scheduler;
    SimulatedServers servers{scheduler, 1};
    TestInstance instance{scheduler, servers, {}, 2};

private:
    int m_lastId = 0;
};

// Guards against a delay of requests where nothing of a higher priority is in use.
TEST_F(DispatchQueueTest, RequestsOfOnePriorityAreSentAtOnce)
{
    const auto received = sendLow(8);
    scheduler.runFor(milliseconds(8));
    EXPECT_EQ(queue().size(), 0U);
    EXPECT_EQ(counters().arrived, 8);
}

// Guards against requests of the highest priority that wait in the server's queue.
TEST_F(DispatchQueueTest, HighestPriorityFindsAShortQueue)
{
    instance.sendRequest("first", "/high/x", seconds(10));
    scheduler.runFor(milliseconds(100));
    const auto low = sendLow(30);
    scheduler.runFor(milliseconds(50));
    EXPECT_GT(queue().size(), 0U);
    const auto high = instance.sendRequest("second", "/high/x", seconds(10));
    scheduler.runFor(seconds(2));
    ASSERT_TRUE(high->answer);
    EXPECT_LE(high->latency, milliseconds(50));
    for (const auto &received : low) {
        ASSERT_TRUE(received->answer);
        EXPECT_EQ(received->answer->status, 200);
    }
    EXPECT_EQ(counters().refused, 0);
}

// Guards against work that is sent for a caller who has disconnected.
TEST_F(DispatchQueueTest, WaitingRequestOfADisconnectedCallerIsNotSent)
{
    instance.sendRequest("first", "/high/x", seconds(10));
    scheduler.runFor(milliseconds(100));
    const auto low = sendLow(30);
    for (const auto &received : low)
        received->call->onCallerDisconnected();
    EXPECT_EQ(queue().size(), 0U);
    scheduler.runFor(seconds(2));
    EXPECT_LT(counters().arrived, 10);
}

// Guards against a lower priority that gets nothing while the higher one uses all slots.
TEST_F(DispatchQueueTest, LowerPriorityKeepsAShareOfTheSends)
{
    const auto sendHigh = [this](int number) {
        instance.sendRequest("high-" + std::to_string(number), "/high/x", seconds(10));
        // Slightly more than the two slots can execute.
        scheduler.runFor(microseconds(4800));
    };
    for (int number = 0; number < 50; ++number)
        sendHigh(number);
    const auto low = sendLow(3);
    for (int number = 50; number < 150; ++number)
        sendHigh(number);
    for (const auto &received : low)
        EXPECT_TRUE(received->answer);
}

// Guards against requests that wait for room at servers that have gone, instead of ending.
TEST_F(DispatchQueueTest, WaitingRequestsEndWhenAllServersAreGone)
{
    instance.sendRequest("first", "/high/x", seconds(10));
    scheduler.runFor(milliseconds(100));
    const auto low = sendLow(30);
    scheduler.runFor(milliseconds(1));
    instance.fleet.onRegistration(registrationOf(0, 0).id, nullptr);
    scheduler.runFor(seconds(1));
    EXPECT_EQ(queue().size(), 0U);
    for (const auto &received : low)
        EXPECT_TRUE(received->answer);
}

// Guards against requests that are held back although the setting says otherwise.
TEST_F(DispatchQueueTest, NothingWaitsWithoutLoadControl)
{
    GatewayPolicy policy;
    policy.isLoadControlled = false;
    TestInstance uncontrolled(scheduler, servers, policy, 3);
    start(uncontrolled);
    uncontrolled.sendRequest("first", "/high/x", seconds(10));
    scheduler.runFor(milliseconds(100));
    for (int number = 0; number < 8; ++number)
        uncontrolled.sendRequest(std::to_string(number), "/low/x", seconds(10));
    scheduler.runFor(milliseconds(8));
    EXPECT_EQ(counters().arrived, 9);
}

// Guards against refusals that state "not run" of requests that a server has executed, and against
// waiting work that grows as long as requests arrive faster than they can be executed.
TEST_F(DispatchQueueTest, RequestsBeyondTheCapacityAreRefusedUnexecuted)
{
    std::vector<std::shared_ptr<ReceivedAnswer>> received;
    for (int number = 0; number < 1000; ++number) {
        if (number % 100 == 0)
            instance.sendRequest("high-" + std::to_string(number), "/high/x", seconds(10));
        received.push_back(sendLow(1).front());
        // Twice as often as the two slots can execute.
        scheduler.runFor(microseconds(2500));
    }
    scheduler.runFor(seconds(2));
    const std::set<std::string> executed(counters().executedIds.begin(),
                                         counters().executedIds.end());
    std::size_t refused = 0;
    for (const auto &answered : received) {
        ASSERT_TRUE(answered->answer);
        if (answered->answer->status != 503)
            continue;
        ++refused;
        EXPECT_FALSE(executed.contains(answered->id));
        EXPECT_TRUE(std::ranges::any_of(answered->answer->fields, [](const HttpField &field) {
            return field.name == "Retry-After";
        }));
    }
    EXPECT_GT(refused, 100U);
    EXPECT_EQ(instance.gateway.counts().refusedForLoad, refused);
}

} // namespace
