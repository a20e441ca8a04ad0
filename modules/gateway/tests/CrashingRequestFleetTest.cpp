#include "support/TestGateway.h"

#include <oleander/gateway/FleetMembers.h>

#include <gtest/gtest.h>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

constexpr int instanceCount = 20;
constexpr int seedCount = 3;
constexpr int dataCentreCount = 3;
constexpr int serverCount = 10;
/// Servers that may be started in a test.
constexpr int maximumServers = 200;
constexpr int shardCount = 0;
/// The service of requests to one server.
constexpr int singleService = shardCount;
constexpr Duration messageDelay = milliseconds(1);
constexpr Duration beaconPeriod = seconds(3);
constexpr Duration restartTime = seconds(3);
/// Time after a server's end until its registration is removed.
constexpr Duration lapseTime = milliseconds(3600);
/// Retries count as late from this time after the loss of so many servers.
constexpr std::size_t lateAfterLosses = 3;
constexpr Duration settleTime = seconds(4);
constexpr int permittedRetries = 3;
/// Servers that one request may cost while instances learn of it.
constexpr std::size_t permittedLosses = 4;
constexpr double requiredServedShare = 0.98;

/// Twenty instances in front of ten servers, under load, that learn from each other through three
/// seeds. Requests whose path contains "crash" end each server in the middle of their execution.
/// The server starts again with another id at another address.
struct CrashingRequestFleetTest : ::testing::Test
{
    CrashingRequestFleetTest()
    {
        servers.isCrashing = [](const CallerRequest &request) {
            return request.target.find("crash") != std::string::npos;
        };
        servers.crashAfter = milliseconds(100);
        servers.executionTime = [](const CallerRequest &, std::mt19937_64 &engine) {
            return milliseconds(120 + static_cast<int>(engine() % 200));
        };
        servers.onCrashed = [this](const Address &address) { replaceServer(address); };
        for (int server = 0; server < serverCount; ++server)
            startServer();
        for (int number = 0; number < instanceCount; ++number) {
            instances.push_back(startInstance(number));
            const DataCentreId dataCentre("dc-" + std::to_string(number % dataCentreCount));
            members.onBeacon({idOf(number), dataCentre, {}, {}}, 1, scheduler.now());
        }
        (void)members.coordinators(scheduler.now() + seconds(1));
        beacon();
        scheduler.runFor(seconds(2));
    }

    std::unique_ptr<TestInstance> startInstance(int number)
    {
        GatewayPolicy policy;
        policy.extraAttempts.allowance = 6;
        policy.instances = instanceCount;
        auto started = std::make_unique<TestInstance>(scheduler, servers, policy,
                                                      static_cast<std::uint64_t>(++lastSeed));
        for (const auto &[id, registration] : registrations)
            started->fleet.onRegistration(id, &registration);
        started->gateway.configure(testConfiguration(shardCount));
        started->fleet.crashGuard().setListener([this, number] { announce(number); });
        return started;
    }

    void startServer()
    {
        ServerRegistration registration = registrationOf(singleService, lastServer++);
        registration.slots = 4;
        servers.behaviour(registration.address).slots = 4;
        registrations[registration.id] = registration;
        for (const auto &instance : instances)
            instance->fleet.onRegistration(registration.id, &registration);
    }

    void replaceServer(const Address &address)
    {
        lossTimes.push_back(scheduler.now());
        scheduler.schedule(scheduler.now() + lapseTime, [this, address] { lapse(address); });
        scheduler.schedule(scheduler.now() + restartTime, [this] { startServer(); });
    }

    void lapse(const Address &address)
    {
        std::erase_if(registrations, [&](const auto &entry) {
            if (entry.second.address != address)
                return false;
            for (const auto &instance : instances)
                instance->fleet.onRegistration(entry.first, nullptr);
            return true;
        });
    }

    [[nodiscard]] bool isExchanging(int number) const { return !unreachable.contains(number); }

    void deliver(int from, int to)
    {
        if (from == to || !isExchanging(from) || !isExchanging(to))
            return;
        const auto reports =
            instances[static_cast<std::size_t>(from)]->fleet.crashGuard().reports();
        scheduler.schedule(scheduler.now() + messageDelay, [this, to, reports] {
            instances[static_cast<std::size_t>(to)]->fleet.crashGuard().onReports(reports);
        });
    }

    /// To the seeds and the neighbours; a seed tells all others, too.
    void announce(int from)
    {
        for (int to = 0; to < (from < seedCount ? instanceCount : seedCount); ++to)
            deliver(from, to);
        for (const Instance &neighbour : members.neighboursOf(idOf(from)))
            deliver(from, std::stoi(neighbour.id.text()));
    }

    [[nodiscard]] static InstanceId idOf(int number) { return InstanceId(std::to_string(number)); }

    void beacon()
    {
        for (int number = 0; number < instanceCount; ++number) {
            for (int seed = 0; seed < seedCount; ++seed) {
                deliver(number, seed);
                deliver(seed, number);
            }
        }
        scheduler.schedule(scheduler.now() + beaconPeriod, [this] { beacon(); });
    }

    std::shared_ptr<ReceivedAnswer> send(int instance, const std::string &path,
                                         Duration timeout = seconds(15))
    {
        return instances[static_cast<std::size_t>(instance % instanceCount)]->sendRequest(
            "r" + std::to_string(++lastId), path, timeout);
    }

    /// Other requests, 22 each second, as long as the test runs.
    void startLoad()
    {
        harmless.push_back(
            send(static_cast<int>(random() % instanceCount), "/one/x" + std::to_string(lastId)));
        scheduler.schedule(scheduler.now() + milliseconds(45), [this] { startLoad(); });
    }

    /// Sends the request to one instance after another for a minute, twice every 1.3 s.
    void repeatCrashing(const std::function<std::string()> &path)
    {
        for (int round = 0; round < 46; ++round) {
            for (int attempt = 0; attempt < 2; ++attempt) {
                const TimePoint now = scheduler.now();
                const auto before = lossTimes.size();
                const bool isLate =
                    before >= lateAfterLosses && now > lossTimes[lateAfterLosses - 1] + settleTime;
                send(round * 7 + attempt * 3, path());
                scheduler.runFor(milliseconds(650));
                lateRetries += isLate && lossTimes.size() > before ? 1 : 0;
            }
        }
    }

    /// Expects that the crashing request was held back, and that the other requests were served.
    void expectHeldBack() const
    {
        EXPECT_LE(lateRetries, permittedRetries);
        EXPECT_LE(lossTimes.size(), permittedLosses);
    }

    [[nodiscard]] double servedShare() const
    {
        const auto served = std::ranges::count_if(harmless, [](const auto &received) {
            return received->answer && received->answer->status == 200;
        });
        return static_cast<double>(served) / static_cast<double>(harmless.size());
    }

    int lastId = 0;
    int lastSeed = 1;
    int lastServer = 0;
    int lateRetries = 0;
    /// Instances that exchange no messages with others, though callers and servers reach them.
    std::set<int> unreachable;
    /// As all seeds know them.
    FleetMembers members;
    std::vector<TimePoint> lossTimes;
    std::mt19937_64 random{5};
    VirtualScheduler scheduler;
    SimulatedServers servers{scheduler, 1};
    std::map<ServerId, ServerRegistration> registrations;
    std::vector<std::unique_ptr<TestInstance>> instances;
    std::vector<std::shared_ptr<ReceivedAnswer>> harmless;
};

// Guards against instances that do not learn in time of what others have lost, and against refusing
// the requests that share servers with the crashing one.
TEST_F(CrashingRequestFleetTest, RequestThatEndsServersInMidExecutionIsHeldBackByAllInstances)
{
    startLoad();
    repeatCrashing([] { return "/one/crash"; });
    expectHeldBack();
    EXPECT_GE(servedShare(), requiredServedShare);
}

// Guards against a suspicion that is cleared by servers that fail without executing the request.
TEST_F(CrashingRequestFleetTest, FailureReplyIsNoProofThatAServerSurvived)
{
    for (int server = 0; server < maximumServers; ++server)
        servers.behaviour(addressOf(singleService, server)).immediateFailureRate = 0.8;
    repeatCrashing([] { return "/one/crash"; });
    expectHeldBack();
}

// Guards against taking each return of a request for a new one because its query differs.
TEST_F(CrashingRequestFleetTest, RequestThatReturnsWithAnotherQueryIsHeldBack)
{
    startLoad();
    int page = 0;
    repeatCrashing([&page] { return "/one/crash?page=" + std::to_string(++page); });
    expectHeldBack();
    EXPECT_GE(servedShare(), requiredServedShare);
}

// Guards against refusing all queries of a resource for those that crash servers.
TEST_F(CrashingRequestFleetTest, HarmlessQueriesOfTheSameResourceAreServed)
{
    startLoad();
    int page = 0;
    for (int round = 0; round < 20; ++round) {
        send(round, "/one/find?crash");
        for (int number = 0; number < 4; ++number) {
            harmless.push_back(send(round + number, "/one/find?page=" + std::to_string(++page)));
            scheduler.runFor(milliseconds(300));
        }
    }
    EXPECT_LE(lossTimes.size(), permittedLosses);
    EXPECT_GE(servedShare(), requiredServedShare);
}

// Guards against a resource that stays refused although its other queries are harmless.
TEST_F(CrashingRequestFleetTest, RefusedResourceIsTriedAgain)
{
    for (int number = 0; number < 4; ++number) {
        send(number, "/one/find?crash" + std::to_string(number));
        scheduler.runFor(seconds(2));
    }
    EXPECT_EQ(lossTimes.size(), 2U);
    const auto refused = send(5, "/one/find?page=1");
    scheduler.runFor(CrashRules{}.resourceRefusal);
    ASSERT_TRUE(refused->answer);
    EXPECT_EQ(refused->answer->status, 503);
    const auto received = send(5, "/one/find?page=1");
    scheduler.runFor(seconds(1));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
}

// Guards against losses that are told to nobody while all seeds are out of reach.
TEST_F(CrashingRequestFleetTest, RequestIsHeldBackWithoutTheSeeds)
{
    unreachable = {0, 1, 2};
    startLoad();
    repeatCrashing([] { return "/one/crash"; });
    // The seeds learn for themselves.
    EXPECT_LE(lossTimes.size(), permittedLosses + 2 * unreachable.size());
    EXPECT_LE(lateRetries, permittedRetries);
}

// Guards against taking a server for alive because its address still accepts connections (BUDGET).
TEST_F(CrashingRequestFleetTest, RequestIsHeldBackWhereAddressesOfEndedServersAcceptConnections)
{
    servers.crashListenTime = seconds(3);
    startLoad();
    repeatCrashing([] { return "/one/crash"; });
    EXPECT_LE(lateRetries, permittedRetries);
    EXPECT_GE(servedShare(), requiredServedShare);
}

} // namespace
