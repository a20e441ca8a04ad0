#include "Faults.h"

#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/request/Plan.h>

#include <algorithm>
#include <array>

namespace oleander::fakes {

namespace {

/// How long a fault lasts that heals by itself.
constexpr Duration shortFault = milliseconds(80);
constexpr Duration longFault = milliseconds(900);
/// Between two daemons' receipt of something published.
constexpr Duration publishLag = milliseconds(40);

void breakReplies(const FaultTarget &target, ReplyFault fault)
{
    ServerBehaviour &behaviour = target.fleet.servers().behaviour(target.server);
    behaviour.replyFault = fault;
    behaviour.faultyReplies = 3;
}

void killServer(const FaultTarget &target)
{
    target.fleet.servers().kill(target.server);
    target.fleet.later(longFault, [target] { target.fleet.servers().restart(target.server); });
}

void freezeServer(const FaultTarget &target)
{
    target.fleet.servers().freeze(target.server);
    target.fleet.later(longFault, [target] { target.fleet.servers().wake(target.server); });
}

void shedLoad(const FaultTarget &target)
{
    target.fleet.servers().behaviour(target.server).isShedding = true;
    target.fleet.later(longFault, [target] {
        target.fleet.servers().behaviour(target.server).isShedding = false;
    });
}

/// The server says at once that it drains; the platform publishes it much later.
void drainServer(const FaultTarget &target)
{
    target.fleet.servers().behaviour(target.server).isDraining = true;
    target.fleet.later(longFault, [target] {
        PartitionMap map = target.fleet.nextMap(false);
        const auto leaving = map.servers.find(target.server);
        if (leaving == map.servers.end())
            return;
        leaving->second.isLeaving = true;
        target.fleet.publishMap(map, publishLag);
    });
}

/// The list says that the server leaves; the server itself says nothing.
void listAsLeaving(const FaultTarget &target)
{
    PartitionMap map = target.fleet.nextMap(false);
    const auto leaving = map.servers.find(target.server);
    if (leaving == map.servers.end())
        return;
    leaving->second.isLeaving = true;
    target.fleet.publishMap(map, publishLag);
}

void coolServer(const FaultTarget &target)
{
    target.fleet.servers().kill(target.server);
    target.fleet.servers().restart(target.server);
    const Duration usual = target.fleet.shape().behaviour.serviceTime;
    target.fleet.servers().behaviour(target.server).serviceTime = 10 * usual;
    target.fleet.later(longFault, [target, usual] {
        target.fleet.servers().behaviour(target.server).serviceTime = usual;
    });
}

/// The server is gone for good and the map without it comes late.
void loseReplica(const FaultTarget &target)
{
    target.fleet.servers().kill(target.server);
    target.fleet.later(longFault, [target] {
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
    if (map.shards.size() < 2 * static_cast<std::size_t>(target.fleet.shape().shards))
        target.fleet.publishMap(TestFleet::split(map), publishLag);
}

/// A newer snapshot is published and the old one is dropped while daemons still plan with it.
void changeSnapshot(const FaultTarget &target)
{
    const PartitionMap map = target.fleet.nextMap(true);
    target.fleet.publishMap(map, publishLag);
    target.fleet.later(shortFault, [target, map] {
        target.fleet.servers().dropSnapshot(SnapshotId(map.snapshot.value() - 1));
    });
}

void slowDown(const FaultTarget &target)
{
    target.fleet.servers().behaviour(target.server).stragglerShare = 1000;
    target.fleet.later(longFault, [target] {
        target.fleet.servers().behaviour(target.server).stragglerShare = 0;
    });
}

void claimNoLoad(const FaultTarget &target)
{
    ServerBehaviour &behaviour = target.fleet.servers().behaviour(target.server);
    behaviour.claimedLoad = 0;
    behaviour.serviceTime = 20 * target.fleet.shape().behaviour.serviceTime;
}

void freezeDaemon(const FaultTarget &target, int daemon)
{
    VirtualHost &host = target.fleet.host(daemon);
    host.freeze(target.fleet.random().chance(500));
    target.fleet.later(longFault, [&host] { host.wake(); });
}

void killDaemon(const FaultTarget &target, int daemon)
{
    target.fleet.killDaemon(daemon);
    target.fleet.later(longFault, [target, daemon] { target.fleet.startDaemon(daemon); });
}

/// A daemon leaves for good; the list of instances says so first, and later forgets it.
void drainDaemon(const FaultTarget &target, int daemon)
{
    target.fleet.drainDaemon(daemon);
    target.fleet.publishInstances(
        [&](InstanceList &list) {
            list.instances[static_cast<std::size_t>(daemon)].isLeaving = true;
        },
        publishLag);
}

/// One daemon keeps an old list of instances while another one leaves.
void lagList(const FaultTarget &target)
{
    target.fleet.publishInstances(
        [&](InstanceList &list) {
            list.instances[static_cast<std::size_t>(target.coordinator)].isLeaving = true;
        },
        longFault);
}

/// Two operators change the defaults at once, each twice.
void raceOperators(const FaultTarget &target)
{
    for (const int change : {0, 1, 2, 3}) {
        target.fleet.later(change * microseconds(700), [target, change] {
            target.fleet.publishPolicy(milliseconds(50 + change));
        });
    }
}

/// Something changes and a daemon restarts while the configuration service is not itself.
void changeAndRestart(const FaultTarget &target)
{
    target.fleet.publishPolicy(milliseconds(55));
    const int other = (target.entry + 1) % target.fleet.daemons();
    target.fleet.later(shortFault, [target, other] { killDaemon(target, other); });
}

void loseConfiguration(const FaultTarget &target)
{
    target.fleet.platform().setDown(true);
    changeAndRestart(target);
    target.fleet.later(2 * longFault, [target] { target.fleet.platform().setDown(false); });
}

/// Answers are older than what was read before.
void ageConfiguration(const FaultTarget &target)
{
    target.fleet.publishPolicy(milliseconds(52));
    target.fleet.later(longFault, [target] {
        target.fleet.platform().setStale(true);
        const int other = (target.entry + 1) % target.fleet.daemons();
        killDaemon(target, other);
    });
    target.fleet.later(3 * longFault, [target] { target.fleet.platform().setStale(false); });
}

void slowConfiguration(const FaultTarget &target)
{
    target.fleet.platform().setLatency(longFault);
    changeAndRestart(target);
    target.fleet.later(2 * longFault,
                       [target] { target.fleet.platform().setLatency(milliseconds(3)); });
}

void flapConfiguration(const FaultTarget &target)
{
    changeAndRestart(target);
    for (int turn = 0; turn < 20; ++turn) {
        target.fleet.later(turn * shortFault, [target, turn] {
            target.fleet.platform().setDown(turn % 2 == 0);
            target.fleet.platform().setStale(turn % 4 == 1);
        });
    }
    target.fleet.later(20 * shortFault, [target] {
        target.fleet.platform().setDown(false);
        target.fleet.platform().setStale(false);
    });
}

void split(const FaultTarget &target)
{
    target.fleet.setSplit(true);
    target.fleet.later(longFault, [target] { target.fleet.setSplit(false); });
}

void crashServers(const FaultTarget &target)
{
    Query query = target.fleet.query("crasher", "crash");
    query.payload = crashPayload;
    target.fleet.submit(target.entry, query, 3);
}

// Faults told apart by one argument only.
template <ReplyFault fault>
void breakReplies(const FaultTarget &target)
{
    breakReplies(target, fault);
}

constexpr std::array faults{
    FaultKind{"server killed", "a backend server dies and is restarted", killServer},
    FaultKind{"server frozen", "a backend server stops and goes on later", freezeServer},
    FaultKind{"server shedding", "a backend server refuses for load", shedLoad},
    FaultKind{"server draining", "it says that it drains, the list says so later", drainServer,
              true},
    FaultKind{"server listed as leaving", "the list says that it leaves, it says nothing",
              listAsLeaving, true},
    FaultKind{"server cold", "it is restarted and slow at first", coolServer},
    FaultKind{"server straggling", "each of its executions takes 200 ms", slowDown},
    FaultKind{"lying load", "it is slow and reports no load", claimNoLoad},
    FaultKind{"replica lost", "it is gone for good, the map says so later", loseReplica},
    FaultKind{"repartition", "every shard is split in a newer snapshot", repartition},
    FaultKind{"snapshot change", "a newer snapshot comes, the old one is dropped", changeSnapshot},
    FaultKind{"reply late", "replies come after everybody gave up", breakReplies<ReplyFault::Late>},
    FaultKind{"reply crossed", "replies belong to another request",
              breakReplies<ReplyFault::Crossed>},
    FaultKind{"reply doubled", "each reply comes twice", breakReplies<ReplyFault::Doubled>},
    FaultKind{"reply truncated", "replies end in the middle", breakReplies<ReplyFault::Truncated>},
    FaultKind{"reply of the next snapshot", "a shard answers from a newer snapshot",
              breakReplies<ReplyFault::NextSnapshot>},
    FaultKind{"reply lost", "the connection ends after the execution, before the reply",
              breakReplies<ReplyFault::Lost>},
    FaultKind{"connection silent", "open connections to it carry nothing any more",
              [](const FaultTarget &target) { target.fleet.servers().silence(target.server); },
              false, true},
    FaultKind{"connection cut", "open connections to it end",
              [](const FaultTarget &target) { target.fleet.servers().cut(target.server); }},
    FaultKind{"connection half-open", "its side of open connections is gone",
              [](const FaultTarget &target) { target.fleet.servers().halfOpen(target.server); },
              false, true},
    FaultKind{"coordinator killed", "the coordinating daemon dies and is replaced",
              [](const FaultTarget &target) { killDaemon(target, target.coordinator); }},
    FaultKind{"coordinator frozen", "it stops and wakes up late",
              [](const FaultTarget &target) { freezeDaemon(target, target.coordinator); }},
    FaultKind{"coordinator paused in a send", "it stops between a decision and the send",
              [](const FaultTarget &target) {
                  target.fleet.host(target.coordinator).freezeAtNextSend(longFault);
              }},
    FaultKind{"coordinator drained", "it is stopped as planned",
              [](const FaultTarget &target) { drainDaemon(target, target.coordinator); }, true},
    FaultKind{"entry killed", "the daemon that took the query dies and is replaced",
              [](const FaultTarget &target) { killDaemon(target, target.entry); }},
    FaultKind{"entry frozen", "it stops and wakes up late",
              [](const FaultTarget &target) { freezeDaemon(target, target.entry); }},
    FaultKind{"entry drained", "it is stopped as planned",
              [](const FaultTarget &target) { drainDaemon(target, target.entry); }, true},
    FaultKind{"instance list lagging", "daemons learn at different times that one leaves", lagList},
    FaultKind{"operators racing", "two operators publish four changes at once", raceOperators},
    FaultKind{"configuration service down", "it does not answer; a daemon restarts meanwhile",
              loseConfiguration},
    FaultKind{"configuration service stale", "it answers older versions; a daemon restarts",
              ageConfiguration},
    FaultKind{"configuration service slow", "it answers after 900 ms; a daemon restarts",
              slowConfiguration},
    FaultKind{"configuration service flapping", "it is down, stale and well by turns",
              flapConfiguration},
    FaultKind{"split between data centres", "nothing passes between data centres", split, false,
              true},
    FaultKind{"crashing request", "a query crashes each server that executes it", crashServers},
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
