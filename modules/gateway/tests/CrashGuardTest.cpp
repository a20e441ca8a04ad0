#include "support/SimulatedPeers.h"

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

constexpr int shardCount = 20;
constexpr int serversPerService = 4;
/// Servers that a crashing request may cost after those that it was first sent to: one alone, and
/// one more where another request shared the blame.
constexpr int permittedCanaries = 2;

/// Twenty shards and a service of their own for single requests, and instances that tell each other
/// of losses. Requests whose path contains "crash" crash each server that begins to execute them.
struct CrashGuardTest : ::testing::Test
{
    CrashGuardTest()
    {
        servers.isCrashing = [](const CallerRequest &request) {
            return request.target.find("crash") != std::string::npos;
        };
        for (int number = 0; number < 3; ++number)
            startInstance();
        scheduler.runFor(seconds(2));
    }

    TestInstance &startInstance()
    {
        GatewayPolicy policy;
        policy.extraAttempts.allowance = 1000;
        policy.instances = 3;
        instances.push_back(
            std::make_unique<TestInstance>(scheduler, servers, policy, instances.size() + 2));
        TestInstance &started = *instances.back();
        for (int service = 0; service <= shardCount; ++service) {
            for (int server = 0; server < serversPerService; ++server) {
                const ServerRegistration registration = registrationOf(service, server);
                started.fleet.onRegistration(registration.id, &registration);
            }
        }
        started.gateway.configure(testConfiguration(shardCount));
        started.fleet.crashGuard().setListener([this, &started] { exchange(started); });
        return started;
    }

    /// Tells all other instances what this one has learnt.
    void exchange(TestInstance &from)
    {
        for (const auto &instance : instances) {
            if (instance.get() != &from)
                instance->fleet.crashGuard().onReports(from.fleet.crashGuard().reports());
        }
    }

    std::shared_ptr<ReceivedAnswer> send(int instance, const std::string &path,
                                         const std::string &method = "GET")
    {
        return instances[static_cast<std::size_t>(instance)]->sendRequest(
            "r" + std::to_string(++lastId), path, seconds(3), method);
    }

    /// Repeats the first `count` requests of each harmless path, and expects that they succeed.
    void expectServed(int count)
    {
        for (int number = 0; number < count; ++number) {
            for (const char *path : {"/gather/x", "/one/x"}) {
                const auto repeated = send(number % 3, path + std::to_string(number));
                scheduler.runFor(seconds(1));
                ASSERT_TRUE(repeated->answer);
                EXPECT_EQ(repeated->answer->status, 200) << path << number;
            }
        }
    }

    int lastId = 0;
    VirtualScheduler scheduler;
    SimulatedServers servers{scheduler, 1};
    std::vector<std::unique_ptr<TestInstance>> instances;
};

// Guards against sending a request that crashes servers on each time a caller repeats it.
TEST_F(CrashGuardTest, GatheredRequestThatCrashesServersIsRefusedByAllInstances)
{
    const auto first = send(0, "/gather/crash");
    scheduler.runFor(seconds(4));
    ASSERT_TRUE(first->answer);
    EXPECT_EQ(first->answer->status, 502) << "servers may have executed it";
    EXPECT_LE(servers.crashes(), shardCount + permittedCanaries);
    const int before = servers.crashes();
    for (int number = 0; number < 12; ++number) {
        const auto repeated = send(number % 3, "/gather/crash");
        scheduler.runFor(seconds(5));
        ASSERT_TRUE(repeated->answer);
        EXPECT_EQ(repeated->answer->status, 503);
        EXPECT_LE(repeated->latency, milliseconds(1)) << "refused at once";
    }
    EXPECT_EQ(servers.crashes(), before);
}

// The same for a request to one server, which is sent to a second one after its reply was lost.
TEST_F(CrashGuardTest, IdempotentRequestThatCrashesServersIsRefusedByAllInstances)
{
    for (int number = 0; number < 12; ++number) {
        const auto received = send(number % 3, "/one/crash");
        scheduler.runFor(seconds(5));
        EXPECT_TRUE(received->answer);
    }
    EXPECT_EQ(servers.crashes(), 2);
}

// The same for a request that may be executed once.
TEST_F(CrashGuardTest, NonIdempotentRequestThatCrashesServersIsRefusedByAllInstances)
{
    for (int number = 0; number < 12; ++number) {
        const auto received = send(number % 3, "/once/crash", "POST");
        scheduler.runFor(seconds(5));
        EXPECT_TRUE(received->answer);
    }
    EXPECT_EQ(servers.crashes(), 2);
}

// Guards against losing the evidence with the caller: most callers of such a request give up.
TEST_F(CrashGuardTest, RequestThatCrashesServersIsRefusedAlthoughItsCallersLeave)
{
    for (int number = 0; number < 12; ++number) {
        const auto received = send(number % 3, "/one/crash");
        scheduler.runFor(microseconds(1));
        if (const auto call = std::exchange(received->call, nullptr))
            call->onCallerDisconnected();
        scheduler.runFor(seconds(5));
    }
    EXPECT_EQ(servers.crashes(), 2);
}

// Guards against a restarted instance that knows nothing of what crashed servers before.
TEST_F(CrashGuardTest, RestartedInstanceLearnsOfCrashingRequestsFromTheOthers)
{
    send(0, "/gather/crash");
    scheduler.runFor(seconds(5));
    const int before = servers.crashes();
    TestInstance &restarted = startInstance();
    restarted.fleet.crashGuard().onReports(instances[1]->fleet.crashGuard().reports());
    send(3, "/gather/crash");
    scheduler.runFor(seconds(5));
    EXPECT_EQ(servers.crashes(), before);
}

// Guards against losing the evidence when the registry tells of the server's restart before a
// connection shows that it has ended.
TEST_F(CrashGuardTest, ServerThatStartsAnewWhileItIsCheckedCountsAsLost)
{
    for (int number = 0; number < 6; ++number) {
        send(0, "/once/crash", "POST");
        scheduler.runFor(milliseconds(2));
        for (int server = 0; server < serversPerService; ++server) {
            ServerRegistration renewed = registrationOf(shardCount, server);
            renewed.startedAt = number + 2;
            instances.front()->fleet.onRegistration(renewed.id, &renewed);
        }
        scheduler.runFor(seconds(5));
    }
    EXPECT_EQ(servers.crashes(), 2);
}

// Guards against refusing what was in flight to servers that another request crashed.
TEST_F(CrashGuardTest, RequestsThatSharedServersWithACrashingOneAreServed)
{
    servers.executionTime = [](const CallerRequest &, std::mt19937_64 &) {
        return milliseconds(20);
    };
    std::vector<std::shared_ptr<ReceivedAnswer>> harmless;
    for (int number = 0; number < 30; ++number) {
        harmless.push_back(send(number % 3, "/gather/x" + std::to_string(number)));
        harmless.push_back(send(number % 3, "/one/x" + std::to_string(number)));
        scheduler.runFor(milliseconds(3));
        if (number == 10)
            send(0, "/gather/crash");
        if (number == 15)
            send(1, "/one/crash");
    }
    scheduler.runFor(seconds(4));
    expectServed(30);
}

// Guards against refusing requests after the loss of many servers at a time, as of a rack.
TEST_F(CrashGuardTest, LossOfARackUnderLoadRefusesNoRequest)
{
    servers.executionTime = [](const CallerRequest &, std::mt19937_64 &) {
        return milliseconds(20);
    };
    for (int round = 0; round < 3; ++round) {
        for (int number = 0; number < 20; ++number) {
            send(number % 3, "/gather/x" + std::to_string(number));
            send(number % 3, "/one/x" + std::to_string(number));
        }
        scheduler.runFor(milliseconds(5));
        for (int service = 0; service <= shardCount; ++service) {
            for (int server = 0; server < 2; ++server)
                servers.crash(addressOf(service, (round + server) % serversPerService));
        }
        scheduler.runFor(seconds(3));
        for (int service = 0; service <= shardCount; ++service) {
            for (int server = 0; server < serversPerService; ++server)
                servers.behaviour(addressOf(service, server)).isDown = false;
        }
        scheduler.runFor(seconds(3));
    }
    expectServed(20);
}

// Guards against blaming requests for connections that were lost while their servers lived on.
TEST_F(CrashGuardTest, LostConnectionsToLivingServersAreNotAttributedToRequests)
{
    for (int server = 0; server < serversPerService; ++server)
        servers.behaviour(addressOf(shardCount, server)).lostReplyRate = 1;
    for (int number = 0; number < 6; ++number) {
        send(number % 3, "/one/x");
        scheduler.runFor(seconds(4));
    }
    for (int server = 0; server < serversPerService; ++server)
        servers.behaviour(addressOf(shardCount, server)).lostReplyRate = 0;
    const auto received = send(0, "/one/x");
    scheduler.runFor(seconds(1));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(instances.front()->fleet.crashGuard().suspectedRequests(), 0);
}

/// How long the address of a crashed server accepts connections that nothing answers.
struct CrashedAddressTest : CrashGuardTest, ::testing::WithParamInterface<int>
{
    CrashedAddressTest() { servers.crashListenTime = milliseconds(GetParam()); }
};

// Guards against taking a server for alive because its address still accepts connections, and
// sending the request that has crashed it on each time it comes (BUDGET).
TEST_P(CrashedAddressTest, GatheredRequestThatCrashesServersIsRefused)
{
    int afterThird = 0;
    for (int number = 0; number < 12; ++number) {
        const int before = servers.crashes();
        const auto repeated = send(number % 3, "/gather/crash");
        scheduler.runFor(seconds(5));
        ASSERT_TRUE(repeated->answer);
        afterThird += number > 0 && servers.crashes() > before ? 1 : 0;
    }
    EXPECT_LE(afterThird, 3) << "sendings that reached servers";
    // Each shard may lose the server of the first sending and that of its retry.
    EXPECT_LE(servers.crashes(), 2 * shardCount + permittedCanaries);
}

// The same for a request to one server.
TEST_P(CrashedAddressTest, RequestThatCrashesServersIsRefused)
{
    for (int number = 0; number < 12; ++number) {
        send(number % 3, "/one/crash");
        scheduler.runFor(seconds(5));
    }
    EXPECT_LE(servers.crashes(), 3);
}

// Guards against refusing a query that servers have survived many times, because it was at servers
// that another one crashed.
TEST_P(CrashedAddressTest, HarmlessRequestsBesideACrashingOneAreServed)
{
    std::vector<std::shared_ptr<ReceivedAnswer>> harmless;
    const auto sendHarmless = [&](int rounds) {
        for (int round = 0; round < rounds; ++round) {
            for (int instance = 0; instance < 3; ++instance) {
                harmless.push_back(send(instance, "/gather/find"));
                scheduler.runFor(milliseconds(7));
            }
        }
    };
    sendHarmless(20);
    for (int number = 0; number < 4; ++number) {
        send(number % 3, "/gather/crash");
        sendHarmless(100);
    }
    scheduler.runFor(seconds(4));
    const auto served = std::ranges::count_if(harmless, [](const auto &received) {
        return received->answer && received->answer->status == 200;
    });
    constexpr double requiredShare = 0.9;
    EXPECT_GE(static_cast<double>(served), requiredShare * static_cast<double>(harmless.size()));
}

INSTANTIATE_TEST_SUITE_P(ListenTimes, CrashedAddressTest, ::testing::Values(10, 100, 3000));

// Guards against suspecting requests after a power loss: servers still hold the connections from
// before, and reset all new ones for a while.
TEST_F(CrashGuardTest, RequestsAtServersThatResetNewConnectionsAreNotSuspected)
{
    servers.isCrashing = nullptr;
    for (int server = 0; server < serversPerService; ++server) {
        servers.crash(addressOf(shardCount, server));
        servers.behaviour(addressOf(shardCount, server)).isDown = false;
        servers.behaviour(addressOf(shardCount, server)).isResetting = true;
    }
    for (int number = 0; number < 10; ++number) {
        send(number % 3, "/one/x" + std::to_string(number));
        scheduler.runFor(milliseconds(300));
    }
    scheduler.runFor(seconds(5));
    for (const auto &instance : instances)
        EXPECT_EQ(instance->fleet.crashGuard().suspectedRequests(), 0);
}

// Guards against blaming a query that servers have survived for the end of one that it shared with
// a query of which nothing is known.
TEST(CrashGuardBlame, SurvivedRequestSharesNoBlameWithAnUnknownOne)
{
    VirtualScheduler scheduler;
    VirtualTimer timer(scheduler);
    TestLog log;
    const CrashRules rules{.canary = false};
    CrashGuard guard(timer, log, rules);
    CallerRequest survived;
    survived.target = "/find";
    CallerRequest unknown;
    unknown.target = "/crash";
    CrashGuard::onSubmitted(*guard.trialOf(survived));
    guard.onReplied(*guard.trialOf(survived), ServerId("a"), 200);
    const auto trials = std::vector{guard.trialOf(survived), guard.trialOf(unknown)};
    for (const auto &trial : trials) {
        CrashGuard::onSubmitted(*trial);
        guard.onConnectionClosed(*trial);
    }
    guard.onServerChecked(trials, ServerId("b"), true);
    EXPECT_EQ(guard.decide(*trials.front()), SendDecision::Send);
    EXPECT_EQ(guard.decide(*trials.back()), SendDecision::SendAlone);
    const auto reports = guard.reports();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front().loss.share, wholeServer);
}

} // namespace
