#pragma once

#include "History.h"
#include "SeededRandom.h"
#include "VirtualProcess.h"

#include <oleander/ports/ServerNetwork.h>

#include <list>

namespace oleander::fakes {

/// Fault of the next replies of a server.
enum class ReplyFault {
    None,
    /// The reply is delayed by 400 ms, which exceeds the default deadline of AMMS.
    Delayed,
    /// The reply carries the id of another request.
    WrongRequest,
    Duplicated,
    /// The reply is incomplete; the transport reports a protocol error.
    Truncated,
    /// The reply is from the next index snapshot.
    NextSnapshot,
    /// The connection closes after the execution and before the reply.
    ConnectionLost,
};

/// Behaviour of one backend server. Tests may change it at any time.
struct ServerBehaviour
{
    Duration serviceTime = milliseconds(2);
    /// Number of executions per thousand that take `stragglerTime` instead of `serviceTime`.
    std::uint64_t stragglersPerThousand = 0;
    Duration stragglerTime = milliseconds(200);
    Duration connectionSetupTime = milliseconds(1);
    bool isShedding = false;
    bool isDraining = false;
    /// Reported instead of the actual load, unless negative.
    int reportedLoad = -1;
    ReplyFault replyFault = ReplyFault::None;
    int remainingFaultyReplies = 0;
};

class FakeServerNetwork;

/// All backend servers of a test and their connections to daemons.
class FakeServerFleet
{
public:
    FakeServerFleet(VirtualClock &clock, History &history, std::uint64_t seed);
    ~FakeServerFleet();

    // Setup
    void addServer(const Server &server, const ServerBehaviour &behaviour);
    /// Loads the shards of the map onto the servers that the map lists as their replicas.
    void publish(const PartitionMap &map);
    /// Creates the network of one daemon; the process must outlive it.
    std::unique_ptr<ServerNetwork> connect(VirtualProcess &process);
    /// Queries with this payload crash the server that executes them.
    void setCrashPayload(std::string payload) { m_crashPayload = std::move(payload); }

    // Faults
    ServerBehaviour &behaviour(const ServerId &server) { return m_servers.at(server).behaviour; }
    void dropSnapshot(SnapshotId snapshot);
    void kill(const ServerId &server);
    void restart(const ServerId &server);
    void freeze(const ServerId &server);
    void wake(const ServerId &server);
    /// Open connections stop carrying data, and neither end reports an error.
    void silenceConnections(const ServerId &server);
    /// Closes open connections at both ends. The server continues to execute its requests.
    void closeConnections(const ServerId &server);
    /// Drops the server's end of open connections. A daemon notices this when it sends.
    void dropServerEnds(const ServerId &server);
    /// Ends the connections of a killed process. Requests that it sent may still be executed.
    void closeConnectionsOf(const VirtualProcess &process);
    /// Makes a server unreachable from a process, or reachable again. While it is unreachable, open
    /// connections carry no data and new ones do not open.
    void setReachable(const VirtualProcess &process, const ServerId &server, bool isReachable);

private:
    friend class FakeServerNetwork;

    struct Connection
    {
        ConnectionId id;
        VirtualProcess *client = nullptr;
        ServerNetworkListener *listener = nullptr;
        ServerId server;
        /// The server process that accepted the connection.
        const VirtualProcess *process = nullptr;
        bool isOpen = false;
        bool isEnded = false;
        bool isSilent = false;
        bool isHalfOpen = false;
    };
    using ConnectionRef = std::shared_ptr<Connection>;

    struct Job
    {
        ConnectionRef connection;
        SubRequest request;
        TimePoint receivedAt;
        bool isRunning = false;
        bool isCancelled = false;
    };

    struct FakeServer
    {
        Server definition;
        ServerBehaviour behaviour;
        std::unique_ptr<VirtualProcess> process;
        /// Loaded shards with their key ranges, by service, shard and snapshot.
        std::map<std::tuple<ServiceId, ShardId, SnapshotId>, Shard> loadedShards;
        std::list<std::shared_ptr<Job>> jobs;
        std::vector<ConnectionRef> connections;
        std::set<const VirtualProcess *> unreachableFrom;
    };

    void accept(const ConnectionRef &connection);
    void end(const ConnectionRef &connection, ConnectionEnd kind, Duration delay);
    void send(const ConnectionRef &connection, const SubRequest &request);
    void receive(const ConnectionRef &connection, const SubRequest &request);
    void startJobs(FakeServer &server);
    void execute(FakeServer &server, const std::shared_ptr<Job> &job);
    void finish(FakeServer &server, const std::shared_ptr<Job> &job);
    void cancel(const ConnectionRef &idleConnection, SubRequestId request);
    void reply(FakeServer &server, const Job &job, ReplyKind kind);
    void replyWithFault(const Job &job, SubReply reply, ReplyFault fault);
    void deliver(const ConnectionRef &connection, const SubRequest &request, const SubReply &reply,
                 Duration delay);
    [[nodiscard]] Duration serviceTimeOf(const ServerBehaviour &behaviour);
    [[nodiscard]] static int loadOf(const FakeServer &server);
    std::vector<ConnectionRef> openConnections(const ServerId &server);

    VirtualClock &m_clock;
    History &m_history;
    SeededRandom m_random;
    std::map<ServerId, FakeServer> m_servers;
    std::vector<std::unique_ptr<VirtualProcess>> m_endedProcesses;
    std::string m_crashPayload;
    std::uint64_t m_lastConnection = 0;
    int m_lastProcess = 1000;
};

/// The ServerNetwork of one daemon.
class FakeServerNetwork final : public ServerNetwork
{
public:
    FakeServerNetwork(FakeServerFleet &fleet, VirtualProcess &process)
        : m_fleet(fleet)
        , m_process(process)
    {
    }

    void send(ConnectionId connection, const SubRequest &request) override;
    void cancel(ConnectionId idleConnection, SubRequestId request) override;
    ConnectionId open(const Server &server, ServerNetworkListener &listener) override;
    void close(ConnectionId connection) override;

private:
    FakeServerFleet &m_fleet;
    VirtualProcess &m_process;
    std::map<ConnectionId, FakeServerFleet::ConnectionRef> m_connections;
};

} // namespace oleander::fakes
