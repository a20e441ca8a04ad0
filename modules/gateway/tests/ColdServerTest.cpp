#include "support/TestGateway.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

constexpr int serverCount = 3;
constexpr double acceptedPerSecond = 10;

/// A fleet of instances and one service of three servers that limits what cold ones get.
struct ColdServerTest : ::testing::Test
{
    void start(int count, double perSecond = acceptedPerSecond)
    {
        configuration = testConfiguration(0);
        for (ServiceDeclaration &service : configuration.services) {
            service.connectionCap = 4 * count;
            service.warmUp = seconds(20);
            service.warmUpPerSecond = perSecond;
            service.healthPath = healthPath;
        }
        for (int number = 0; number < count; ++number)
            ids.emplace_back("i-" + std::to_string(number));
        GatewayPolicy policy;
        policy.instances = count;
        for (int number = 0; number < count; ++number) {
            instances.push_back(
                std::make_unique<TestInstance>(scheduler, servers, policy, number + 1));
            startOne(*instances.back(), ids[static_cast<std::size_t>(number)], candidates());
        }
        scheduler.runFor(seconds(3));
    }

    [[nodiscard]] std::vector<InstanceId> candidates() const
    {
        return {ids.begin(), ids.begin() + std::min<std::ptrdiff_t>(6, std::ssize(ids))};
    }

    void startOne(TestInstance &instance, const InstanceId &self,
                  std::vector<InstanceId> coldSenders)
    {
        instance.fleet.setColdSenders(self, std::move(coldSenders));
        for (int server = 0; server < serverCount; ++server) {
            const ServerRegistration registration = registrationAt(server);
            instance.fleet.onRegistration(registration.id, &registration);
        }
        instance.gateway.configure(configuration);
    }

    ServerRegistration registrationAt(int server)
    {
        ServerRegistration registration = registrationOf(0, server);
        registration.dataCentre = DataCentreId("dc-" + std::to_string(server));
        registration.warmUpLeft = std::max(
            Duration{}, servers.behaviour(addressOf(0, server)).coldUntil - scheduler.now());
        return registration;
    }

    /// Makes a server cold, and lets all instances know it.
    void makeCold(int server, Duration time)
    {
        servers.behaviour(addressOf(0, server)).coldUntil = scheduler.now() + time;
        const ServerRegistration registration = registrationAt(server);
        for (const auto &instance : instances)
            instance->fleet.onRegistration(registration.id, &registration);
    }

    /// Each instance sends a request in each 50 milliseconds.
    void sendFor(Duration time, const std::string &path = "/one/x")
    {
        for (const TimePoint end = scheduler.now() + time; scheduler.now() < end;) {
            for (const auto &instance : instances)
                received.push_back(
                    instance->sendRequest("r" + std::to_string(received.size()), path, seconds(5)));
            scheduler.runFor(milliseconds(50));
        }
    }

    int arrived(int server) { return servers.counters(addressOf(0, server)).arrived; }

    int mostInAnySecond(int server)
    {
        const auto &times = servers.counters(addressOf(0, server)).arrivalTimes;
        std::ptrdiff_t most = 0;
        auto first = times.begin();
        for (auto last = times.begin(); last != times.end(); ++last) {
            while (*last - *first >= seconds(1))
                ++first;
            most = std::max(most, last - first + 1);
        }
        return static_cast<int>(most);
    }

    VirtualScheduler scheduler;
    SimulatedServers servers{scheduler, 1};
    GatewayConfiguration configuration;
    std::vector<InstanceId> ids;
    std::vector<std::unique_ptr<TestInstance>> instances;
    std::vector<std::shared_ptr<ReceivedAnswer>> received;
};

// Guards against load on a cold server that warm ones of its service can take.
TEST_F(ColdServerTest, GetsNoRequestThatAWarmServerCanTake)
{
    start(4);
    sendFor(seconds(1));
    scheduler.runFor(milliseconds(100));
    makeCold(0, seconds(20));
    const int before = arrived(0);
    ASSERT_GT(before, 10);
    sendFor(seconds(3));
    EXPECT_EQ(arrived(0), before);
    for (const auto &answer : received) {
        if (answer->answer) {
            EXPECT_EQ(answer->answer->status, 200);
        }
    }
}

// Guards against a crash of cold servers by a whole fleet that has no warm server, which includes
// its retries and hedges.
TEST_F(ColdServerTest, FleetWithoutWarmServersStaysWithinTheBound)
{
    start(35);
    servers.executionTime = [](const CallerRequest &, std::mt19937_64 &) {
        return milliseconds(150);
    };
    for (int server = 0; server < serverCount; ++server)
        makeCold(server, seconds(20));
    sendFor(seconds(8));
    for (int server = 0; server < serverCount; ++server) {
        EXPECT_LE(mostInAnySecond(server), coldStartBound(acceptedPerSecond));
        EXPECT_GE(arrived(server), 8 * 0.4 * acceptedPerSecond) << "the allowance is used";
    }
    EXPECT_GT(instances.front()->fleet.heldBackRequests(), 0U);
    EXPECT_EQ(instances.front()->fleet.coldServers(), 3U);
}

// Guards against entries that send to shards beside the coordinators, and against gathered requests
// that pass by the allowance.
TEST_F(ColdServerTest, GatheredRequestsStayWithinTheBound)
{
    start(35);
    configuration = testConfiguration(1, 2);
    for (ServiceDeclaration &service : configuration.services) {
        service.warmUp = seconds(20);
        service.warmUpPerSecond = acceptedPerSecond;
    }
    for (std::size_t number = 0; number < instances.size(); ++number) {
        instances[number]->gateway.configure(configuration);
        instances[number]->fleet.setShardSharing({6, number < 6});
    }
    for (int server = 0; server < serverCount; ++server)
        makeCold(server, seconds(20));
    sendFor(seconds(5), "/gather/x");
    for (int server = 0; server < serverCount; ++server) {
        EXPECT_LE(mostInAnySecond(server), coldStartBound(acceptedPerSecond));
        EXPECT_GE(arrived(server), 5 * 0.4 * acceptedPerSecond);
    }
}

// Guards against instances that start while servers are cold and each take a share for few.
TEST_F(ColdServerTest, RestartedFleetStaysWithinTheBound)
{
    start(35);
    for (int server = 0; server < serverCount; ++server)
        makeCold(server, seconds(40));
    sendFor(seconds(2));
    scheduler.runFor(seconds(6));
    for (std::size_t number = 0; number < instances.size(); ++number) {
        instances[number] =
            std::make_unique<TestInstance>(scheduler, servers, GatewayPolicy{}, 1000 + number);
        startOne(*instances[number], ids[number], {});
    }
    const int before = arrived(0);
    sendFor(seconds(2));
    EXPECT_EQ(arrived(0), before) << "neither the number of instances nor the senders are known";
    for (std::size_t number = 0; number < instances.size(); ++number) {
        instances[number]->policy.instances = 35;
        instances[number]->fleet.setColdSenders(ids[number], candidates());
    }
    sendFor(seconds(4));
    EXPECT_GT(arrived(0), before);
    for (int server = 0; server < serverCount; ++server)
        EXPECT_LE(mostInAnySecond(server), coldStartBound(acceptedPerSecond));
}

// Guards against the full load on servers that have been idle during an evacuation.
TEST_F(ColdServerTest, IsAssumedAfterAnEvacuationUntilTheServerStatesOtherwise)
{
    start(4);
    for (const auto &instance : instances)
        instance->fleet.setEvacuated({DataCentreId("dc-0"), DataCentreId("dc-1")});
    sendFor(seconds(1));
    servers.behaviour(addressOf(0, 0)).coldUntil = scheduler.now() + seconds(10);
    for (const auto &instance : instances)
        instance->fleet.setEvacuated({});
    const int before[] = {arrived(0), arrived(1)};
    EXPECT_EQ(instances.front()->fleet.coldServers(), 2U);
    scheduler.runFor(seconds(6));
    EXPECT_EQ(instances.front()->fleet.coldServers(), 1U) << "the health probe tells them apart";
    sendFor(seconds(2));
    EXPECT_EQ(arrived(0), before[0]);
    EXPECT_GT(arrived(1), before[1] + 20);
    scheduler.runFor(seconds(10));
    EXPECT_EQ(instances.front()->fleet.coldServers(), 0U);
    EXPECT_EQ(instances.front()->log.count(EventId::ServerCold), 2U);
    EXPECT_EQ(instances.front()->log.count(EventId::ServerWarm), 2U);
}

// Guards against an assumption without end when health probes get no reply.
TEST_F(ColdServerTest, AssumptionEndsWithoutAReplyAfterTheWarmUpTime)
{
    start(4);
    servers.behaviour(addressOf(0, 0)).isUnresponsive = true;
    for (const auto &instance : instances)
        instance->fleet.setEvacuated({DataCentreId("dc-0")});
    for (const auto &instance : instances)
        instance->fleet.setEvacuated({});
    scheduler.runFor(seconds(19));
    EXPECT_EQ(instances.front()->fleet.coldServers(), 1U);
    scheduler.runFor(seconds(2));
    EXPECT_EQ(instances.front()->fleet.coldServers(), 0U);
}

// Guards against the full load on a server that crashed and came back before its registration.
TEST_F(ColdServerTest, IsAssumedWhenConnectionsWereLost)
{
    start(4);
    sendFor(seconds(1));
    servers.crash(addressOf(0, 0));
    scheduler.runFor(milliseconds(100));
    servers.behaviour(addressOf(0, 0)).isDown = false;
    servers.behaviour(addressOf(0, 0)).coldUntil = scheduler.now() + seconds(20);
    const int before = arrived(0);
    sendFor(seconds(4));
    EXPECT_EQ(arrived(0), before);
}

// Guards against all of the traffic at the first moment at which a server is warm.
TEST_F(ColdServerTest, UsualRequestsReturnInStepsAfterTheColdTime)
{
    start(4);
    sendFor(seconds(2));
    makeCold(0, seconds(2));
    scheduler.runFor(seconds(2));
    int arrivedBefore = arrived(0);
    std::vector<int> perSecond;
    for (int second = 0; second < 5; ++second) {
        sendFor(seconds(1));
        perSecond.push_back(arrived(0) - std::exchange(arrivedBefore, arrived(0)));
    }
    EXPECT_LT(perSecond[0], perSecond[4] * 0.6);
    EXPECT_GT(perSecond[0], 0);
    EXPECT_GT(perSecond[4], 15);
}

// Guards against instances that were stopped while servers became cold, and that go on as before.
TEST_F(ColdServerTest, IsAssumedWhenThisInstanceWasPaused)
{
    start(1);
    TestInstance &instance = *instances.front();
    sendFor(milliseconds(500));
    ASSERT_EQ(instance.fleet.coldServers(), 0U);
    instance.timer.pauseFor(seconds(5));
    scheduler.runFor(milliseconds(4990));
    sendFor(milliseconds(1));
    EXPECT_EQ(instance.fleet.coldServers(), 3U);
}

// Guards against a change for deployments whose services have no limit: probes cost money, and a
// cold server is chosen less often only, as before.
TEST_F(ColdServerTest, ServiceWithoutLimitIsServedAsBefore)
{
    start(4, 0);
    makeCold(0, seconds(20));
    for (const auto &instance : instances)
        instance->fleet.setEvacuated({DataCentreId("dc-1")});
    for (const auto &instance : instances)
        instance->fleet.setEvacuated({});
    servers.crash(addressOf(0, 2));
    scheduler.runFor(milliseconds(100));
    servers.behaviour(addressOf(0, 2)).isDown = false;
    sendFor(seconds(3));
    for (int server = 0; server < serverCount; ++server) {
        EXPECT_GT(arrived(server), 10) << server;
        EXPECT_EQ(servers.counters(addressOf(0, server)).healthRequests, 0) << server;
    }
    EXPECT_EQ(instances.front()->fleet.coldServers(), 0U);
    EXPECT_EQ(instances.front()->log.count(EventId::ServerCold), 0U);
}

} // namespace
