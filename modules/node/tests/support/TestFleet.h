#pragma once

#include "FakePeers.h"
#include "FakeServerFleet.h"
#include "FixedView.h"
#include "Judge.h"

#include <oleander/node/QueryNode.h>

namespace oleander::fakes {

/// Until then after a start, the memory of requests is not complete and claims are refused.
constexpr Duration warmUp = seconds(7);

/// Size and behaviour of a session's fleet.
struct FleetShape
{
    int daemons = 4;
    int dataCentres = 2;
    int servers = 6;
    int shards = 4;
    int replicas = 2;
    int slots = 2;
    int connectionCap = 60;
    Duration peerLatency = microseconds(1500);
    Policy policy;
    ServerBehaviour behaviour;
};

/// A dashboard service of AMMS: the tail goes before coverage.
FleetShape ammsShape();
/// The archive of Fotolector: coverage goes before the tail.
FleetShape fotolectorShape();

/// A few daemons, backend servers and callers in one process and virtual time. One service.
class TestFleet
{
public:
    TestFleet(const FleetShape &shape, std::uint64_t seed);
    ~TestFleet();
    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;

    // Time
    void runFor(Duration duration);
    /// Runs `task` between events, `delay` from now.
    void later(Duration delay, std::function<void()> task);

    // Callers
    /// A query for all shards, whole fleet defaults otherwise.
    [[nodiscard]] Query query(const std::string &caller, const std::string &request) const;
    /// The same for one shard, and not to be executed twice.
    [[nodiscard]] Query claim(const std::string &caller, const std::string &request) const;
    /// Sends through a daemon. While it does not succeed, the caller sends it again through other
    /// daemons `resends` times.
    Submission &submit(int daemon, Query query, int resends = 0);
    void abandon(Submission &submission);

    // Daemons
    [[nodiscard]] int daemons() const { return static_cast<int>(m_daemons.size()); }
    [[nodiscard]] VirtualHost &host(int daemon);
    /// The daemon whose process or instance this is, or nothing.
    [[nodiscard]] int daemonOfProcess(int process) const;
    void killDaemon(int daemon);
    /// A new process of the same instance; nothing of the old one is left.
    void startDaemon(int daemon);
    /// Planned stop; the process ends when it is idle.
    void drainDaemon(int daemon);
    [[nodiscard]] bool isRunning(int daemon) const;
    [[nodiscard]] FakePeers &peers() { return m_peers; }
    /// Cuts or heals everything between the data centres.
    void setSplit(bool isSplit);
    [[nodiscard]] InstanceId instance(int daemon) const;

    // What is published
    /// Puts a view in force at one daemon.
    void setView(int daemon, std::shared_ptr<const FleetView> view);
    /// Publishes to every daemon, each `lag` later than the one before.
    void publishMap(const PartitionMap &map, Duration lag);
    /// Publishes a changed list of instances, each daemon `lag` later than the one before.
    void publishInstances(const std::function<void(InstanceList &)> &change, Duration lag);
    /// A configuration with this tail limit arrives at one daemon, which keeps a newer one.
    void publishPolicy(int daemon, int version, Duration tailLimit);
    /// The newest map with a higher version, and a higher snapshot if asked.
    [[nodiscard]] PartitionMap nextMap(bool isNewSnapshot) const;
    /// Cuts every shard of the map in two halves, held by the same servers.
    static PartitionMap split(PartitionMap map);
    [[nodiscard]] std::shared_ptr<const FleetView> view(int daemon) const;

    [[nodiscard]] FakeServerFleet &servers() { return m_servers; }
    [[nodiscard]] ServerId server(int index) const;
    [[nodiscard]] History &history() { return m_history; }
    [[nodiscard]] SeededRandom &random() { return m_random; }
    [[nodiscard]] const FleetShape &shape() const { return m_shape; }
    [[nodiscard]] std::vector<std::string> verdict(const JudgeRules &rules);

private:
    struct Daemon;
    class Handler;

    void launch(int daemon);
    void onAnswer(Submission &submission, int resends, const Answer &answer);
    void resend(const Submission &submission, int resends);
    void loseEntry(int daemon);

    FleetShape m_shape;
    VirtualClock m_clock;
    SeededRandom m_random;
    History m_history;
    FakeServerFleet m_servers;
    FakePeers m_peers;
    std::shared_ptr<const PartitionMap> m_newest;
    std::shared_ptr<const InstanceList> m_instances;
    std::vector<std::shared_ptr<const FleetView>> m_views;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<Daemon>> m_ended;
    std::map<const Submission *, int> m_resendsLeft;
    int m_lastProcess = 0;
};

} // namespace oleander::fakes
