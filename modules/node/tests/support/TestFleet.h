#pragma once

#include "FakeConfigService.h"
#include "FakePeerMesh.h"
#include "FakeServerFleet.h"
#include "Judge.h"
#include "SettableViewSource.h"

#include <oleander/node/ControlNode.h>
#include <oleander/node/QueryNode.h>

namespace oleander::fakes {

/// Time after the start of a daemon during which its deduplication table is incomplete, so that it
/// refuses non-idempotent queries.
constexpr Duration warmUpTime = seconds(7);

/// Size and behaviour of a test fleet.
struct FleetOptions
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

/// Options for AMMS, a dashboard service that prefers low tail latency to coverage.
FleetOptions ammsOptions();
/// Options for Fotolector, an archive that prefers coverage to low tail latency.
FleetOptions fotolectorOptions();

/// Daemons, backend servers and callers of one service, simulated in one process and in virtual
/// time.
class TestFleet
{
public:
    TestFleet(const FleetOptions &options, std::uint64_t seed);
    ~TestFleet();
    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;

    // Time
    void runFor(Duration duration);
    /// Runs `task` after `delay`, as an event of its own.
    void schedule(Duration delay, std::function<void()> task);

    // Callers
    /// Creates an idempotent query for all shards, with the fleet's default deadline.
    [[nodiscard]] Query query(const std::string &caller, const std::string &request) const;
    /// Creates a non-idempotent query for one shard.
    [[nodiscard]] Query nonIdempotentQuery(const std::string &caller,
                                           const std::string &request) const;
    /// Sends a query through a daemon. If it fails, the caller sends it again through other
    /// daemons, at most `resends` times.
    Submission &submit(int daemon, const Query &query, int resends = 0);
    void abandon(Submission &submission);

    // Daemons
    [[nodiscard]] int daemons() const { return static_cast<int>(m_daemons.size()); }
    [[nodiscard]] VirtualProcess &process(int daemon);
    /// Index of the daemon that runs in the process with index `process`, or -1.
    [[nodiscard]] int daemonOfProcess(int process) const;
    void killDaemon(int daemon);
    /// Starts a new process of the same instance, without any state of the old one.
    void startDaemon(int daemon);
    /// Begins a planned stop. The process ends when it is idle.
    void drainDaemon(int daemon);
    [[nodiscard]] bool isRunning(int daemon) const;
    [[nodiscard]] FakePeerMesh &peers() { return m_peers; }
    /// Blocks or restores all traffic between data centres.
    void setDataCentreSplit(bool isSplit);
    [[nodiscard]] InstanceId instance(int daemon) const;

    // Configuration
    /// Publishes a partition map to the configuration service. From now on, each daemon applies a
    /// new view `lag` later than the daemon before it, in addition to the delay of the control
    /// plane.
    void publishMap(const PartitionMap &map, Duration lag);
    void publishInstances(const std::function<void(InstanceList &)> &change, Duration lag);
    /// While held, a daemon keeps its current view. When released, it applies the newest one.
    void holdView(int daemon, bool isHeld);
    /// Publishes a configuration with another tail limit.
    void publishPolicy(Duration tailLimit);
    /// Copy of the newest map, with the next snapshot id if `isNewSnapshot`.
    [[nodiscard]] PartitionMap nextMap(bool isNewSnapshot) const;
    /// Splits every shard of the map into two halves on the same servers.
    static PartitionMap splitShards(PartitionMap map);
    /// The view that a daemon currently uses.
    [[nodiscard]] std::shared_ptr<const FleetView> view(int daemon) const;
    [[nodiscard]] FakeConfigService &platform() { return m_platform; }

    [[nodiscard]] FakeServerFleet &servers() { return m_servers; }
    [[nodiscard]] ServerId server(int index) const;
    [[nodiscard]] History &history() { return m_history; }
    [[nodiscard]] SeededRandom &random() { return m_random; }
    [[nodiscard]] const FleetOptions &options() const { return m_options; }
    [[nodiscard]] std::vector<std::string> checkHistory(const CheckOptions &checkOptions);

private:
    struct Daemon;
    class Handler;

    void launch(int daemon);
    void onAnswer(Submission &submission, int resends, const Answer &answer);
    void resend(const Submission &submission, int resends);
    void markEntryLost(int daemon);
    void connectControl(Daemon &daemon, const QueryNode::Identity &identity);
    void applyView(Daemon &daemon, const std::shared_ptr<const FleetView> &view);
    [[nodiscard]] SectionParsers parsers() const;

    FleetOptions m_options;
    VirtualClock m_clock;
    SeededRandom m_random;
    History m_history;
    FakeServerFleet m_servers;
    FakePeerMesh m_peers;
    FakeConfigService m_platform;
    /// Published values. The configuration service stores the index of a value in its list as text.
    std::vector<PartitionMap> m_maps;
    std::vector<InstanceList> m_instanceLists;
    std::vector<PolicySet> m_policies;
    Duration m_publishLag{};
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<Daemon>> m_endedDaemons;
    std::map<const Submission *, int> m_resendsLeft;
    int m_lastProcess = 0;
};

} // namespace oleander::fakes
