#include "support/SimulatedPeers.h"

#include <oleander/gateway/FleetMembers.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oleander;
using namespace oleander::gateway;
using namespace oleander::gateway::testing;

namespace {

std::vector<CoordinatorCandidate> makeCandidates(const std::vector<double> &strengths,
                                                 int dataCentres = 3)
{
    std::vector<CoordinatorCandidate> candidates;
    for (std::size_t index = 0; index < strengths.size(); ++index) {
        const int number = static_cast<int>(index);
        candidates.push_back(
            {CoordinatedInstance::describe(number, "dc-" + std::to_string(number % dataCentres)),
             strengths[index]});
    }
    return candidates;
}

// Election

TEST(CoordinatorElection, StrongInstancesCoordinate)
{
    std::vector<double> strengths(295, 0.12);
    for (std::size_t index = 0; index < 15; ++index)
        strengths[index * 19] = 0.5;
    const auto elected = electCoordinators(makeCandidates(strengths));
    ASSERT_EQ(elected.size(), 15U);
    EXPECT_EQ(elected.front().id, InstanceId("instance-0"));
}

// Guards against coordinators whose links are too slow for the parts of a burst, although their
// processors are not.
TEST(CoordinatorElection, InstancesWithFastLinksCoordinate)
{
    std::vector<double> strengths(35, coordinatorStrength(0.3, 60));
    for (std::size_t index = 0; index < 6; ++index)
        strengths[index * 5] = coordinatorStrength(0.5, 200);
    const auto elected = electCoordinators(makeCandidates(strengths));
    ASSERT_EQ(elected.size(), 6U);
    for (const Instance &instance : elected)
        EXPECT_EQ(std::stoi(instance.id.text().substr(instance.id.text().find('-') + 1)) % 5, 0);
}

TEST(CoordinatorElection, UnknownLinkLeavesTheProcessorShare)
{
    EXPECT_EQ(coordinatorStrength(0.17, std::nullopt), 0.17);
    EXPECT_EQ(coordinatorStrength(0.17, 700), 0.17);
}

TEST(CoordinatorElection, ASixthOfEqualInstancesInAllDataCentres)
{
    const auto elected = electCoordinators(makeCandidates(std::vector<double>(60, 0.2)));
    ASSERT_EQ(elected.size(), 10U);
    std::map<DataCentreId, int> byDataCentre;
    for (const Instance &instance : elected)
        ++byDataCentre[instance.dataCentre];
    EXPECT_EQ(byDataCentre.size(), 3U);
}

RC_GTEST_PROP(CoordinatorElection, IsTheSameForAllSeeds, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(0, 200);
    std::vector<double> strengths;
    for (std::size_t index = 0; index < count; ++index)
        strengths.push_back(*rc::gen::element(0.1, 0.2, 0.5));
    auto candidates = makeCandidates(strengths);
    const auto elected = electCoordinators(candidates);
    std::ranges::reverse(candidates);
    RC_ASSERT(electCoordinators(candidates) == elected);
    RC_ASSERT(elected.size() <= 33U);
    RC_ASSERT(elected.empty() == candidates.empty());
}

TEST(FleetMembers, SilentAndLeavingInstancesAreNotElected)
{
    FleetMembers members;
    TimePoint now = TimePoint{} + seconds(100);
    Instance first = CoordinatedInstance::describe(1, "dc");
    const Instance second = CoordinatedInstance::describe(2, "dc");
    members.onBeacon(first, 0.5, now);
    members.onBeacon(second, 0.5, now);
    EXPECT_EQ(members.coordinators(now).size(), 2U);
    now += seconds(5);
    first.isLeaving = true;
    members.onBeacon(first, 0.5, now);
    EXPECT_EQ(members.coordinators(now), std::vector{second});
    now += seconds(5);
    EXPECT_TRUE(members.coordinators(now).empty());
}

// Choice

TEST(CoordinatorDirectory, OneLostCoordinatorMovesOnlyItsShare)
{
    std::vector<Instance> coordinators;
    coordinators.reserve(9);
    for (int number = 0; number < 9; ++number)
        coordinators.push_back(CoordinatedInstance::describe(number, "dc"));
    const TimePoint now = TimePoint{} + seconds(100);
    std::map<InstanceId, int> chosen;
    int moved = 0;
    constexpr int entries = 300;
    for (int entry = 0; entry < entries; ++entry) {
        CoordinatorDirectory directory(InstanceId("entry-" + std::to_string(entry)),
                                       DataCentreId("elsewhere"));
        directory.onList(InstanceId("seed"), coordinators, now);
        const auto before = directory.choose({}, {}, now);
        ASSERT_TRUE(before);
        ++chosen[before->id];
        directory.noteFailure(coordinators[4].id, now);
        const auto after = directory.choose({}, {}, now);
        moved += after->id != before->id ? 1 : 0;
    }
    EXPECT_EQ(moved, chosen[coordinators[4].id]);
    for (const auto &[id, count] : chosen) {
        EXPECT_GE(count, entries / 9 / 2) << id;
        EXPECT_LE(count, entries / 9 * 2) << id;
    }
}

TEST(CoordinatorDirectory, EvidenceOfAFailureExpires)
{
    CoordinatorDirectory directory(InstanceId("self"), DataCentreId("dc"));
    const auto coordinator = CoordinatedInstance::describe(1, "dc");
    TimePoint now = TimePoint{} + seconds(100);
    directory.onList(InstanceId("seed"), {coordinator}, now);
    directory.noteFailure(coordinator.id, now);
    EXPECT_FALSE(directory.choose({}, {}, now));
    EXPECT_EQ(directory.choose({}, {}, now + seconds(1)), coordinator);
    directory.noteFailure(coordinator.id, now + seconds(1));
    EXPECT_FALSE(directory.choose({}, {}, now + seconds(2)));
}

TEST(CoordinatorDirectory, ABusyCoordinatorIsLeftForOneWithLess)
{
    CoordinatorDirectory directory(InstanceId("self"), DataCentreId("dc"));
    const auto near = CoordinatedInstance::describe(1, "dc");
    const auto far = CoordinatedInstance::describe(2, "far");
    const TimePoint now = TimePoint{} + seconds(100);
    directory.onList(InstanceId("seed"), {near, far}, now);
    EXPECT_EQ(directory.choose({}, {}, now), near);
    directory.noteReply(near.id, 40, now);
    EXPECT_EQ(directory.choose({}, {}, now), far);
}

// Requests over coordinators

constexpr int shardCount = 20;
constexpr int entryCount = 3;
constexpr int coordinatorCount = 3;

/// Three coordinators and three entry instances of a fleet that is too large for connections of all
/// instances to all servers. Each shard has three servers, one in each data centre.
class CoordinatedFleet : public ::testing::Test
{
protected:
    CoordinatedFleet()
    {
        GatewayPolicy policy;
        policy.instances = 100;
        policy.fleetExtraAllowance = 200;
        std::vector<Instance> coordinators;
        for (int number = 0; number < coordinatorCount + entryCount; ++number) {
            instances.push_back(std::make_unique<CoordinatedInstance>(
                scheduler, mesh, servers, policy, number, "dc-" + std::to_string(number % 3), 100));
            if (number < coordinatorCount)
                coordinators.push_back(instances.back()->description);
        }
        for (const auto &instance : instances) {
            for (int shard = 0; shard < shardCount; ++shard) {
                for (int server = 0; server < 3; ++server) {
                    ServerRegistration registration = registrationOf(shard, server);
                    registration.dataCentre = DataCentreId("dc-" + std::to_string(server));
                    instance->local.fleet.onRegistration(registration.id, &registration);
                }
            }
            instance->local.gateway.configure(testConfiguration(shardCount));
            instance->delegation.onCoordinators(InstanceId("seed"), coordinators);
        }
        scheduler.runFor(seconds(11));
    }

    CoordinatedInstance &coordinator(int number)
    {
        return *instances[static_cast<std::size_t>(number)];
    }
    CoordinatedInstance &entry(int number) { return coordinator(coordinatorCount + number); }
    /// The coordinator in the data centre of the entry, which it prefers.
    InstanceId preferredBy(int number) { return coordinator(number).description.id; }
    std::shared_ptr<ReceivedAnswer> send(int number, const std::string &id = "r1")
    {
        return entry(number).local.sendRequest(id, "/gather/x", seconds(3));
    }
    /// The largest number of servers of one shard that have executed the request.
    int mostExecutions(const std::string &id)
    {
        int most = 0;
        for (int shard = 0; shard < shardCount; ++shard) {
            int executions = 0;
            for (int server = 0; server < 3; ++server) {
                const auto &executed = servers.counters(addressOf(shard, server)).executedIds;
                executions += std::ranges::find(executed, id) != executed.end() ? 1 : 0;
            }
            most = std::max(most, executions);
        }
        return most;
    }

    VirtualScheduler scheduler;
    SimulatedServers servers{scheduler, 7};
    PeerMesh mesh{scheduler};
    std::vector<std::unique_ptr<CoordinatedInstance>> instances;
};

TEST_F(CoordinatedFleet, OnlyCoordinatorsKeepConnectionsToShards)
{
    EXPECT_TRUE(coordinator(0).delegation.isCoordinator());
    EXPECT_FALSE(entry(0).delegation.isCoordinator());
    EXPECT_EQ(entry(0).local.fleet.connections(), 0U);
    EXPECT_EQ(coordinator(0).local.fleet.connections(), std::size_t(shardCount * 3));
}

TEST_F(CoordinatedFleet, GatheredAnswerComesFromACoordinatorOfTheSameDataCentre)
{
    const auto received = send(1);
    scheduler.runFor(milliseconds(150));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(received->missingShards, 0U);
    EXPECT_EQ(coordinator(1).local.gateway.counts().coordinated, 1U);
    EXPECT_EQ(entry(1).local.fleet.connections(), 0U);
    // The executing instance's own configuration has the rules, so that they are not sent.
    EXPECT_EQ(mesh.calls(), 1U);
}

TEST_F(CoordinatedFleet, RulesOfANewerConfigurationAreSentOnce)
{
    GatewayConfiguration newer = testConfiguration(shardCount, 2);
    newer.routes[0].recordLimit = 3;
    entry(0).local.gateway.configure(newer);
    const auto first = send(0, "r1");
    scheduler.runFor(seconds(1));
    EXPECT_EQ(mesh.calls(), 2U);
    const auto second = send(0, "r2");
    scheduler.runFor(seconds(1));
    EXPECT_EQ(mesh.calls(), 3U);
    ASSERT_TRUE(first->answer && second->answer);
    EXPECT_EQ(second->answer->status, 200);
}

// Guards against a request that crashes servers and is handed to coordinators each time it comes.
TEST_F(CoordinatedFleet, CrashingRequestIsRefusedByEntriesAndCoordinators)
{
    servers.isCrashing = [](const CallerRequest &) { return true; };
    for (const auto &instance : instances) {
        CrashGuard &guard = instance->local.fleet.crashGuard();
        guard.setListener([this, &guard] {
            for (const auto &other : instances)
                other->local.fleet.crashGuard().onReports(guard.reports());
        });
    }
    const auto first = send(0, "r1");
    scheduler.runFor(seconds(4));
    ASSERT_TRUE(first->answer);
    EXPECT_EQ(first->answer->status, 502) << "servers may have executed it";
    const int before = servers.crashes();
    EXPECT_LE(before, shardCount + 2);
    const std::uint64_t calls = mesh.calls();
    for (int number = 0; number < 6; ++number) {
        const auto repeated = send(number % entryCount, "r" + std::to_string(number + 2));
        scheduler.runFor(seconds(1));
        ASSERT_TRUE(repeated->answer);
        EXPECT_EQ(repeated->answer->status, 503);
    }
    EXPECT_EQ(servers.crashes(), before);
    EXPECT_EQ(mesh.calls(), calls) << "refused by the entry itself";
}

TEST_F(CoordinatedFleet, AKilledCoordinatorIsReplacedWithinTheObjective)
{
    const auto received = send(0);
    scheduler.runFor(milliseconds(5));
    mesh.kill(preferredBy(0));
    scheduler.runFor(milliseconds(150));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(entry(0).local.gateway.counts().rerun, 1U);
    EXPECT_LE(mostExecutions("r1"), 2);
}

TEST_F(CoordinatedFleet, NothingIsRunAgainWhenTheLostCoordinatorMayHaveHedged)
{
    // One shard is slow, so that the request is hedged and still in progress after 0.4 of the
    // objective.
    for (int server = 0; server < 3; ++server)
        servers.behaviour(addressOf(0, server)).slowdown = 30;
    const auto received = send(0);
    scheduler.runFor(milliseconds(120));
    ASSERT_FALSE(received->answer);
    mesh.kill(preferredBy(0));
    scheduler.runFor(milliseconds(5));
    ASSERT_TRUE(received->answer);
    // The request may have been executed, so that it is not refused.
    EXPECT_EQ(received->answer->status, 502);
    scheduler.runFor(seconds(3));
    EXPECT_LE(mostExecutions("r1"), 2);
}

// Guards against a third server of a shard: a coordinator that has hedged falls silent, and the
// request is begun again elsewhere as if it had never been read (BUDGET).
TEST_F(CoordinatedFleet, NothingIsRunAgainWhenTheSilentCoordinatorMayHaveHedged)
{
    for (int server = 0; server < 3; ++server)
        servers.behaviour(addressOf(0, server)).slowdown = 60;
    const auto received = send(0);
    scheduler.runFor(milliseconds(120));
    ASSERT_FALSE(received->answer);
    mesh.setSilent(preferredBy(0), true);
    scheduler.runFor(seconds(3));
    EXPECT_LE(mostExecutions("r1"), 2);
}

TEST_F(CoordinatedFleet, ASilentCoordinatorIsGoneRoundAfterOneObservation)
{
    mesh.setSilent(preferredBy(0), true);
    const auto first = send(0, "r1");
    scheduler.runFor(milliseconds(400));
    ASSERT_TRUE(first->answer);
    EXPECT_EQ(first->answer->status, 200);
    const auto second = send(0, "r2");
    scheduler.runFor(milliseconds(60));
    ASSERT_TRUE(second->answer);
    EXPECT_EQ(second->answer->status, 200);
}

TEST_F(CoordinatedFleet, CancelledRequestsOfAWokenCoordinatorReachNoServer)
{
    const auto received = send(0);
    // The process is suspended before the request arrives; its cancellation arrives meanwhile.
    coordinator(0).local.timer.pauseFor(seconds(2));
    scheduler.runFor(milliseconds(10));
    received->call->onCallerDisconnected();
    scheduler.runFor(seconds(4));
    EXPECT_EQ(mostExecutions("r1"), 0);
}

TEST_F(CoordinatedFleet, APlannedStopOfACoordinatorLosesNothing)
{
    const auto before = send(0, "r1");
    scheduler.runFor(milliseconds(2));
    mesh.beginStop(preferredBy(0));
    const auto after = send(0, "r2");
    scheduler.runFor(milliseconds(150));
    ASSERT_TRUE(before->answer && after->answer);
    EXPECT_EQ(before->answer->status, 200);
    EXPECT_EQ(after->answer->status, 200);
    EXPECT_EQ(entry(0).local.gateway.counts().rerun, 0U);
}

// Guards against requests that are lost with a coordinator at which they waited for room.
TEST_F(CoordinatedFleet, RequestsThatWaitedAtALostCoordinatorAreRunElsewhere)
{
    GatewayConfiguration configuration = testConfiguration(shardCount, 2);
    configuration.routes[0].priority = 1;
    Route urgent = configuration.routes[0];
    urgent.id = RouteId("urgent");
    urgent.prefix = "/urgent/";
    urgent.priority = 0;
    urgent.objective = milliseconds(50);
    configuration.routes.push_back(urgent);
    for (const auto &instance : instances)
        instance->local.gateway.configure(configuration);
    entry(0).local.sendRequest("first", "/urgent/x", seconds(3));
    scheduler.runFor(milliseconds(200));
    constexpr int requests = 20;
    std::vector<std::shared_ptr<ReceivedAnswer>> received;
    received.reserve(requests);
    for (int number = 0; number < requests; ++number)
        received.push_back(send(0, "r" + std::to_string(number)));
    scheduler.runFor(milliseconds(4));
    EXPECT_GT(coordinator(0).local.fleet.waitingRequests(), 0U);
    mesh.kill(preferredBy(0));
    scheduler.runFor(seconds(2));
    for (const auto &answered : received) {
        ASSERT_TRUE(answered->answer);
        EXPECT_EQ(answered->answer->status, 200);
        EXPECT_LE(mostExecutions(answered->id), 2);
    }
}

TEST_F(CoordinatedFleet, AnyInstanceExecutesRequestsItselfWhenAllCoordinatorsAreLost)
{
    for (int number = 0; number < coordinatorCount; ++number)
        mesh.kill(coordinator(number).description.id);
    const auto received = send(0);
    scheduler.runFor(milliseconds(200));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(entry(0).local.gateway.counts().undelegated, 1U);
}

TEST_F(CoordinatedFleet, ARequestThatALostCoordinatorMayHaveExecutedIsNotRefusedHere)
{
    for (int shard = 0; shard < shardCount; ++shard) {
        for (int server = 0; server < 3; ++server)
            entry(0).local.fleet.onRegistration(registrationOf(shard, server).id, nullptr);
    }
    const auto received = send(0);
    scheduler.runFor(milliseconds(5));
    for (int number = coordinatorCount - 1; number >= 0; --number)
        mesh.kill(coordinator(number).description.id);
    scheduler.runFor(milliseconds(200));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(entry(0).local.gateway.counts().undelegated, 1U);
    EXPECT_EQ(received->answer->status, 502);
}

TEST_F(CoordinatedFleet, ACallerThatLeavesFreesTheServersThroughTheHop)
{
    for (int shard = 0; shard < shardCount; ++shard) {
        for (int server = 0; server < 3; ++server)
            servers.behaviour(addressOf(shard, server)).slowdown = 100;
    }
    const auto received = send(0);
    scheduler.runFor(milliseconds(50));
    received->call->onCallerDisconnected();
    scheduler.runFor(milliseconds(450));
    int cancelled = 0;
    for (int shard = 0; shard < shardCount; ++shard) {
        for (int server = 0; server < 3; ++server)
            cancelled += servers.counters(addressOf(shard, server)).cancelled;
    }
    EXPECT_EQ(cancelled, shardCount);
    EXPECT_EQ(coordinator(0).server.active(), 0U);
}

TEST_F(CoordinatedFleet, ABusyCoordinatorPassesRequestsToAnother)
{
    coordinator(0).local.policy.coordinatedGathers = 0;
    const auto received = send(0);
    scheduler.runFor(milliseconds(150));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(coordinator(0).local.gateway.counts().coordinated, 0U);
}

TEST_F(CoordinatedFleet, RefusalSaysTheRequestHasNotRun)
{
    for (const auto &instance : instances) {
        for (int shard = 0; shard < shardCount; ++shard) {
            for (int server = 0; server < 3; ++server)
                instance->local.fleet.onRegistration(registrationOf(shard, server).id, nullptr);
        }
    }
    const auto received = send(0);
    scheduler.runFor(milliseconds(20));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 503);
    EXPECT_EQ(mostExecutions("r1"), 0);
}

// Shards of several data centres

/// Five data centres with a coordinator each. Each shard has three servers, in three of them.
class SpreadFleet : public ::testing::Test
{
protected:
    static constexpr int dataCentreCount = 5;
    static constexpr int spreadShards = 40;

    SpreadFleet()
    {
        GatewayPolicy policy;
        policy.instances = 100;
        policy.fleetExtraAllowance = 200;
        std::vector<Instance> coordinators;
        for (int number = 0; number < dataCentreCount; ++number) {
            instances.push_back(std::make_unique<CoordinatedInstance>(
                scheduler, mesh, servers, policy, number, dataCentreName(number), 100));
            coordinators.push_back(instances.back()->description);
        }
        servers.makeBody = [](const CallerRequest &, const Address &address) {
            std::string record = address.number;
            record.resize(16, '-');
            return record;
        };
        for (const auto &instance : instances) {
            for (int shard = 0; shard < spreadShards; ++shard) {
                for (int server = 0; server < 3; ++server) {
                    ServerRegistration registration = registrationOf(shard, server);
                    registration.dataCentre = DataCentreId(dataCentreName(shard + server));
                    instance->local.fleet.onRegistration(registration.id, &registration);
                }
            }
            instance->local.gateway.configure(testConfiguration(spreadShards));
            instance->delegation.onCoordinators(InstanceId("seed"), coordinators);
        }
        scheduler.runFor(seconds(11));
    }

    static std::string dataCentreName(int number)
    {
        return "dc-" + std::to_string(number % dataCentreCount);
    }
    std::shared_ptr<ReceivedAnswer> send(const std::string &id)
    {
        return instances[0]->local.sendRequest(id, "/gather/x", seconds(3));
    }
    static std::size_t receiptsIn(const CallerAnswer &answer)
    {
        return static_cast<std::size_t>(
            std::ranges::count(answer.fields, "receipt", &HttpField::name));
    }
    std::uint64_t coordinatedByOthers()
    {
        std::uint64_t sum = 0;
        for (int number = 1; number < dataCentreCount; ++number)
            sum += instances[static_cast<std::size_t>(number)]->local.gateway.counts().coordinated;
        return sum;
    }

    VirtualScheduler scheduler;
    SimulatedServers servers{scheduler, 7};
    PeerMesh mesh{scheduler};
    std::vector<std::unique_ptr<CoordinatedInstance>> instances;
};

TEST_F(SpreadFleet, RemoteShardsAreAskedByCoordinatorsBesideThem)
{
    const auto received = send("r1");
    scheduler.runFor(milliseconds(150));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(received->missingShards, 0U);
    EXPECT_EQ(receiptsIn(*received->answer), std::size_t(spreadShards));
    EXPECT_EQ(received->answer->body.size(), 20U * 16U);
    EXPECT_EQ(instances[0]->local.gateway.counts().delegatedGroups, 4U);
    EXPECT_EQ(coordinatedByOthers(), 4U);
}

TEST_F(SpreadFleet, AGroupIsAskedFromHereWhenItsCoordinatorIsLost)
{
    const auto received = send("r1");
    scheduler.runFor(milliseconds(3));
    mesh.kill(instances[1]->description.id);
    scheduler.runFor(milliseconds(150));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(received->missingShards, 0U);
    for (int shard = 0; shard < spreadShards; ++shard) {
        int executions = 0;
        for (int server = 0; server < 3; ++server) {
            const auto &executed = servers.counters(addressOf(shard, server)).executedIds;
            executions += std::ranges::find(executed, "r1") != executed.end() ? 1 : 0;
        }
        EXPECT_LE(executions, 2) << shard;
    }
}

TEST_F(SpreadFleet, AGroupRepliesWithoutOneShardAtTheObjective)
{
    // Shard 1 has servers in the data centres 1 to 3 only, which do not reply.
    for (int server = 0; server < 3; ++server)
        servers.behaviour(addressOf(1, server)).isUnresponsive = true;
    const auto received = send("r1");
    scheduler.runFor(milliseconds(200));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(received->missingShards, 1U);
    EXPECT_EQ(receiptsIn(*received->answer), std::size_t(spreadShards - 1));
}

TEST_F(SpreadFleet, NoShardIsMergedTwiceWhenALateGroupReplyFollows)
{
    // The coordinator of a group does not respond for a while, then replies.
    const InstanceId silent = instances[1]->description.id;
    for (int shard = 0; shard < spreadShards; ++shard) {
        for (int server = 0; server < 3; ++server)
            servers.behaviour(addressOf(shard, server)).slowdown = 60;
    }
    const auto received = send("r1");
    scheduler.runFor(milliseconds(5));
    mesh.setSilent(silent, true);
    scheduler.runFor(milliseconds(400));
    mesh.setSilent(silent, false);
    scheduler.runFor(seconds(3));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(receiptsIn(*received->answer) + received->missingShards, std::size_t(spreadShards));
}

TEST(GatherDelegation, ThereIsNoHopWhereConnectionsSuffice)
{
    VirtualScheduler scheduler;
    SimulatedServers servers(scheduler, 7);
    PeerMesh mesh(scheduler);
    GatewayPolicy policy;
    policy.instances = 13;
    CoordinatedInstance instance(scheduler, mesh, servers, policy, 5, "dc", 13);
    for (int shard = 0; shard < shardCount; ++shard) {
        const ServerRegistration registration = registrationOf(shard, 0);
        instance.local.fleet.onRegistration(registration.id, &registration);
    }
    instance.local.gateway.configure(testConfiguration(shardCount));
    instance.delegation.onCoordinators(
        InstanceId("seed"),
        {CoordinatedInstance::describe(1, "dc"), CoordinatedInstance::describe(2, "dc")});
    const auto received = instance.local.sendRequest("r1", "/gather/x", seconds(3));
    scheduler.runFor(seconds(1));
    ASSERT_TRUE(received->answer);
    EXPECT_EQ(received->answer->status, 200);
    EXPECT_EQ(mesh.calls(), 0U);
}

} // namespace
