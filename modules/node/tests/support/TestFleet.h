#pragma once

#include "FakeConfigService.h"
#include "FakePeers.h"
#include "FakeServerFleet.h"
#include "FixedView.h"
#include "Judge.h"

#include <oleander/node/ControlNode.h>
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
    Submission &submit(int daemon, const Query &query, int resends = 0);
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
    /// Publishes to the configuration service. Whatever is published later comes into force at each
    /// daemon `lag` later than at the one before, beyond what the control plane takes.
    void publishMap(const PartitionMap &map, Duration lag);
    void publishInstances(const std::function<void(InstanceList &)> &change, Duration lag);
    /// While held, a daemon keeps the view that it has; afterwards it gets the newest.
    void holdView(int daemon, bool isHeld);
    /// Publishes a configuration with another tail limit.
    void publishPolicy(Duration tailLimit);
    /// The newest map, or with a higher snapshot if asked.
    [[nodiscard]] PartitionMap nextMap(bool isNewSnapshot) const;
    /// Cuts every shard of the map in two halves, held by the same servers.
    static PartitionMap split(PartitionMap map);
    /// The view in force at a daemon.
    [[nodiscard]] std::shared_ptr<const FleetView> view(int daemon) const;
    [[nodiscard]] FakeConfigService &platform() { return m_platform; }

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
    void connectControl(Daemon &daemon, const QueryNode::Identity &identity);
    void putInForce(Daemon &daemon, const std::shared_ptr<const FleetView> &view);
    [[nodiscard]] SectionParsers parsers() const;

    FleetShape m_shape;
    VirtualClock m_clock;
    SeededRandom m_random;
    History m_history;
    FakeServerFleet m_servers;
    FakePeers m_peers;
    FakeConfigService m_platform;
    /// What was published, by the index that stands for it at the configuration service.
    std::vector<PartitionMap> m_maps;
    std::vector<InstanceList> m_lists;
    std::vector<PolicySet> m_policies;
    Duration m_publishLag{};
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<Daemon>> m_ended;
    std::map<const Submission *, int> m_resendsLeft;
    int m_lastProcess = 0;
};

} // namespace oleander::fakes
