#include "Faults.h"

#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/request/Plan.h>

#include <algorithm>
#include <array>

namespace oleander::fakes {

namespace {

/// Durations of faults that end by themselves.
constexpr Duration shortFaultDuration = milliseconds(80);
constexpr Duration longFaultDuration = milliseconds(900);
/// Delay between consecutive daemons until they apply a published value.
constexpr Duration publishLag = milliseconds(40);

void injectReplyFault(const FaultTarget &target, ReplyFault fault)
{
    ServerBehaviour &behaviour = target.fleet.servers().behaviour(target.server);
    behaviour.replyFault = fault;
    behaviour.remainingFaultyReplies = 3;
}

void killServer(const FaultTarget &target)
{
    target.fleet.servers().kill(target.server);
    target.fleet.schedule(longFaultDuration,
                          [target] { target.fleet.servers().restart(target.server); });
}

void freezeServer(const FaultTarget &target)
{
    target.fleet.servers().freeze(target.server);
    target.fleet.schedule(longFaultDuration,
                          [target] { target.fleet.servers().wake(target.server); });
}

void shedLoad(const FaultTarget &target)
{
    target.fleet.servers().behaviour(target.server).isShedding = true;
    target.fleet.schedule(longFaultDuration, [target] {
        target.fleet.servers().behaviour(target.server).isShedding = false;
    });
}

/// The server reports at once that it drains; the partition map marks it as leaving only later.
void drainServer(const FaultTarget &target)
{
    target.fleet.servers().behaviour(target.server).isDraining = true;
    target.fleet.schedule(longFaultDuration, [target] {
        PartitionMap map = target.fleet.nextMap(false);
        const auto leaving = map.servers.find(target.server);
        if (leaving == map.servers.end())
            return;
        leaving->second.isLeaving = true;
        target.fleet.publishMap(map, publishLag);
    });
}

/// The partition map marks the server as leaving, but the server itself does not report it.
void markServerLeaving(const FaultTarget &target)
{
    PartitionMap map = target.fleet.nextMap(false);
    const auto leaving = map.servers.find(target.server);
    if (leaving == map.servers.end())
        return;
    leaving->second.isLeaving = true;
    target.fleet.publishMap(map, publishLag);
}

void restartServerCold(const FaultTarget &target)
{
    target.fleet.servers().kill(target.server);
    target.fleet.servers().restart(target.server);
    const Duration usual = target.fleet.options().behaviour.serviceTime;
    target.fleet.servers().behaviour(target.server).serviceTime = 10 * usual;
    target.fleet.schedule(longFaultDuration, [target, usual] {
        target.fleet.servers().behaviour(target.server).serviceTime = usual;
    });
}

/// The server is lost permanently, and the map without it is published late.
void removeReplica(const FaultTarget &target)
{
    target.fleet.servers().kill(target.server);
    target.fleet.schedule(longFaultDuration, [target] {
        PartitionMap map = target.fleet.nextMap(false);
        map.servers.erase(target.server);
        for (Shard &shard : map.shards)
            std::erase(shard.replicas, target.server);
        target.fleet.publishMap(map, publishLag);
    });
}

void repartition(const FaultTarget &target)
{
    const PartitionMap map = target.fleet.nextMap(true);
    if (map.shards.size() < 2 * static_cast<std::size_t>(target.fleet.options().shards))
        target.fleet.publishMap(TestFleet::splitShards(map), publishLag);
}

/// A newer snapshot is published, and the old one is dropped while daemons still use it.
void changeSnapshot(const FaultTarget &target)
{
    const PartitionMap map = target.fleet.nextMap(true);
    target.fleet.publishMap(map, publishLag);
    target.fleet.schedule(shortFaultDuration, [target, map] {
        target.fleet.servers().dropSnapshot(SnapshotId(map.snapshot.value() - 1));
    });
}

void makeServerStraggle(const FaultTarget &target)
{
    target.fleet.servers().behaviour(target.server).stragglersPerThousand = 1000;
    target.fleet.schedule(longFaultDuration, [target] {
        target.fleet.servers().behaviour(target.server).stragglersPerThousand = 0;
    });
}

void reportNoLoad(const FaultTarget &target)
{
    ServerBehaviour &behaviour = target.fleet.servers().behaviour(target.server);
    behaviour.reportedLoad = 0;
    behaviour.serviceTime = 20 * target.fleet.options().behaviour.serviceTime;
}

void freezeDaemon(const FaultTarget &target, int daemon)
{
    VirtualProcess &process = target.fleet.process(daemon);
    process.freeze(target.fleet.random().chance(500));
    target.fleet.schedule(longFaultDuration, [&process] { process.wake(); });
}

void killDaemon(const FaultTarget &target, int daemon)
{
    target.fleet.killDaemon(daemon);
    target.fleet.schedule(longFaultDuration,
                          [target, daemon] { target.fleet.startDaemon(daemon); });
}

/// Stops a daemon as planned and marks it as leaving in the instance list.
void drainDaemon(const FaultTarget &target, int daemon)
{
    target.fleet.drainDaemon(daemon);
    target.fleet.publishInstances(
        [&](InstanceList &list) {
            list.instances[static_cast<std::size_t>(daemon)].isLeaving = true;
        },
        publishLag);
}

/// Marks the coordinator as leaving. The daemons apply this instance list at different times.
void delayInstanceList(const FaultTarget &target)
{
    target.fleet.publishInstances(
        [&](InstanceList &list) {
            list.instances[static_cast<std::size_t>(target.coordinator)].isLeaving = true;
        },
        longFaultDuration);
}

/// Publishes four changes of the defaults within a few milliseconds, as two concurrent operators
/// would.
void publishConcurrently(const FaultTarget &target)
{
    for (const int change : {0, 1, 2, 3}) {
        target.fleet.schedule(change * microseconds(700), [target, change] {
            target.fleet.publishPolicy(milliseconds(50 + change));
        });
    }
}

/// Publishes a change and restarts a daemon. Used while the configuration service has a fault.
void changeAndRestart(const FaultTarget &target)
{
    target.fleet.publishPolicy(milliseconds(55));
    const int other = (target.entry + 1) % target.fleet.daemons();
    target.fleet.schedule(shortFaultDuration, [target, other] { killDaemon(target, other); });
}

void stopConfigurationService(const FaultTarget &target)
{
    target.fleet.platform().setDown(true);
    changeAndRestart(target);
    target.fleet.schedule(2 * longFaultDuration,
                          [target] { target.fleet.platform().setDown(false); });
}

/// The service returns older versions than before, and a daemon restarts meanwhile.
void makeConfigurationServiceStale(const FaultTarget &target)
{
    target.fleet.publishPolicy(milliseconds(52));
    target.fleet.schedule(longFaultDuration, [target] {
        target.fleet.platform().setStale(true);
        const int other = (target.entry + 1) % target.fleet.daemons();
        killDaemon(target, other);
    });
    target.fleet.schedule(3 * longFaultDuration,
                          [target] { target.fleet.platform().setStale(false); });
}

void slowConfigurationService(const FaultTarget &target)
{
    target.fleet.platform().setLatency(longFaultDuration);
    changeAndRestart(target);
    target.fleet.schedule(2 * longFaultDuration,
                          [target] { target.fleet.platform().setLatency(milliseconds(3)); });
}

void flapConfigurationService(const FaultTarget &target)
{
    changeAndRestart(target);
    for (int round = 0; round < 20; ++round) {
        target.fleet.schedule(round * shortFaultDuration, [target, round] {
            target.fleet.platform().setDown(round % 2 == 0);
            target.fleet.platform().setStale(round % 4 == 1);
        });
    }
    target.fleet.schedule(20 * shortFaultDuration, [target] {
        target.fleet.platform().setDown(false);
        target.fleet.platform().setStale(false);
    });
}

void splitDataCentres(const FaultTarget &target)
{
    target.fleet.setDataCentreSplit(true);
    target.fleet.schedule(longFaultDuration, [target] { target.fleet.setDataCentreSplit(false); });
}

void submitCrashingQuery(const FaultTarget &target)
{
    Query query = target.fleet.query("crasher", "crash");
    query.payload = crashPayload;
    target.fleet.submit(target.entry, query, 3);
}

// Faults that differ only in the kind of reply fault.
template <ReplyFault fault>
void injectReplyFault(const FaultTarget &target)
{
    injectReplyFault(target, fault);
}

constexpr std::array faults{
    FaultKind{"server killed", "a backend server is killed and restarted", killServer},
    FaultKind{"server frozen", "a backend server is suspended and resumes later", freezeServer},
    FaultKind{"server shedding", "a backend server refuses requests because of load", shedLoad},
    FaultKind{"server draining",
              "a server reports that it drains; the map marks it as leaving later", drainServer,
              true},
    FaultKind{"server listed as leaving",
              "the map marks a server as leaving; the server does not report it", markServerLeaving,
              true},
    FaultKind{"server cold", "a server is restarted and slow at first", restartServerCold},
    FaultKind{"server straggling", "each execution on a server takes 200 ms", makeServerStraggle},
    FaultKind{"lying load", "a server is slow and reports no load", reportNoLoad},
    FaultKind{"replica lost", "a server is lost permanently; the map without it comes later",
              removeReplica},
    FaultKind{"repartition", "every shard is split in a newer snapshot", repartition},
    FaultKind{"snapshot change", "a newer snapshot is published and the old one is dropped",
              changeSnapshot},
    FaultKind{"reply late", "replies are delayed by 400 ms", injectReplyFault<ReplyFault::Delayed>},
    FaultKind{"reply crossed", "replies carry the id of another request",
              injectReplyFault<ReplyFault::WrongRequest>},
    FaultKind{"reply doubled", "each reply is delivered twice",
              injectReplyFault<ReplyFault::Duplicated>},
    FaultKind{"reply truncated", "replies are incomplete", injectReplyFault<ReplyFault::Truncated>},
    FaultKind{"reply of the next snapshot", "a shard answers from a newer snapshot",
              injectReplyFault<ReplyFault::NextSnapshot>},
    FaultKind{"reply lost", "the connection closes after the execution and before the reply",
              injectReplyFault<ReplyFault::ConnectionLost>},
    FaultKind{
        "connection silent", "open connections to a server stop carrying data",
        [](const FaultTarget &target) { target.fleet.servers().silenceConnections(target.server); },
        false, true},
    FaultKind{
        "connection cut", "open connections to a server are closed",
        [](const FaultTarget &target) { target.fleet.servers().closeConnections(target.server); }},
    FaultKind{
        "connection half-open", "a server's end of open connections is dropped",
        [](const FaultTarget &target) { target.fleet.servers().dropServerEnds(target.server); },
        false, true},
    FaultKind{"coordinator killed", "the coordinating daemon is killed and restarted",
              [](const FaultTarget &target) { killDaemon(target, target.coordinator); }},
    FaultKind{"coordinator frozen", "the coordinating daemon is suspended for 900 ms",
              [](const FaultTarget &target) { freezeDaemon(target, target.coordinator); }},
    FaultKind{"coordinator paused in a send",
              "the coordinator is suspended between a decision and the send",
              [](const FaultTarget &target) {
                  target.fleet.process(target.coordinator).freezeAtNextSend(longFaultDuration);
              }},
    FaultKind{"coordinator drained", "the coordinating daemon is stopped as planned",
              [](const FaultTarget &target) { drainDaemon(target, target.coordinator); }, true},
    FaultKind{"entry killed", "the daemon that accepted the query is killed and restarted",
              [](const FaultTarget &target) { killDaemon(target, target.entry); }},
    FaultKind{"entry frozen", "the daemon that accepted the query is suspended for 900 ms",
              [](const FaultTarget &target) { freezeDaemon(target, target.entry); }},
    FaultKind{"entry drained", "the daemon that accepted the query is stopped as planned",
              [](const FaultTarget &target) { drainDaemon(target, target.entry); }, true},
    FaultKind{"instance list lagging", "daemons learn at different times that a daemon leaves",
              delayInstanceList},
    FaultKind{"operators racing", "two operators publish four changes at the same time",
              publishConcurrently},
    FaultKind{"configuration service down",
              "the service does not answer; a daemon restarts meanwhile", stopConfigurationService},
    FaultKind{"configuration service stale",
              "the service returns older versions; a daemon restarts",
              makeConfigurationServiceStale},
    FaultKind{"configuration service slow", "the service answers after 900 ms; a daemon restarts",
              slowConfigurationService},
    FaultKind{"configuration service flapping", "the service is down, stale and healthy in turn",
              flapConfigurationService},
    FaultKind{"split between data centres", "all traffic between data centres is blocked",
              splitDataCentres, false, true},
    FaultKind{"crashing request", "a query crashes each server that executes it",
              submitCrashingQuery},
};

} // namespace

std::span<const FaultKind> allFaults()
{
    return faults;
}

int coordinatorOf(const TestFleet &fleet, int entry, const Query &query)
{
    const FleetView &view = *fleet.view(entry);
    const auto coordinators =
        coordinatorsFor(query.service, *view.instances, view.policies->defaults.coordinators);
    const auto order = coordinatorOrder(coordinators, routingKey(query, query.service));
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
        if (fleet.instance(daemon) == order.front())
            return daemon;
    }
    return 0;
}

} // namespace oleander::fakes
