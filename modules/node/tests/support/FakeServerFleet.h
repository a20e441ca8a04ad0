#pragma once

#include "History.h"
#include "SeededRandom.h"
#include "VirtualHost.h"

#include <oleander/ports/ServerNetwork.h>

#include <list>

namespace oleander::fakes {

/// What is wrong with the next replies of a server.
enum class ReplyFault {
    None,
    /// Comes long after everybody gave up.
    Late,
    /// Belongs to another request.
    Crossed,
    Doubled,
    /// Ends in the middle; the transport reports a protocol error.
    Truncated,
    /// Answered from the next index snapshot.
    NextSnapshot,
    /// The connection is cut after the execution, before the reply.
    Lost,
};

/// How one backend server behaves; tests change it at any time.
struct ServerBehaviour
{
    Duration serviceTime = milliseconds(2);
    /// So many of a thousand executions take `stragglerTime` instead.
    std::uint64_t stragglerShare = 0;
    Duration stragglerTime = milliseconds(200);
    Duration connectionCost = milliseconds(1);
    bool isShedding = false;
    bool isDraining = false;
    /// Reported instead of the true load when it is not negative.
    int claimedLoad = -1;
    ReplyFault replyFault = ReplyFault::None;
    int faultyReplies = 0;
};

class FakeServerPort;

/// All backend servers of a session and their connections to daemons.
class FakeServerFleet
{
public:
    FakeServerFleet(VirtualClock &clock, History &history, std::uint64_t seed);
    ~FakeServerFleet();

    // Building
    void addServer(const Server &server, const ServerBehaviour &behaviour);
    /// Every server named in the map holds its shards of the map's snapshot from now on.
    void publish(const PartitionMap &map);
    /// The network of one daemon; the host must outlive it.
    std::unique_ptr<ServerNetwork> connect(VirtualHost &host);
    /// Queries with this payload crash the server that executes them.
    void setCrashPayload(std::string payload) { m_crashPayload = std::move(payload); }

    // Faults
    ServerBehaviour &behaviour(const ServerId &server) { return m_servers.at(server).behaviour; }
    void dropSnapshot(SnapshotId snapshot);
    void kill(const ServerId &server);
    void restart(const ServerId &server);
    void freeze(const ServerId &server);
    void wake(const ServerId &server);
    /// Open connections carry nothing any more and no end says so.
    void silence(const ServerId &server);
    /// Open connections end at both sides; the server goes on executing.
    void cut(const ServerId &server);
    /// The server's side of open connections is gone; a daemon learns it when it sends.
    void halfOpen(const ServerId &server);
    /// The host was killed: its connections end, what it sent may still be executed.
    void closeAllOf(const VirtualHost &host);
    /// Servers can not be reached from this host: connections go silent, new ones do not open.
    void setReachable(const VirtualHost &host, const ServerId &server, bool isReachable);

private:
    friend class FakeServerPort;

    struct Connection
    {
        ConnectionId id;
        VirtualHost *client = nullptr;
        ServerNetworkListener *listener = nullptr;
        ServerId server;
        /// Process of the server that accepted it.
        const VirtualHost *process = nullptr;
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
        bool isOver = false;
    };

    struct FakeServer
    {
        Server published;
        ServerBehaviour behaviour;
        std::unique_ptr<VirtualHost> process;
        /// Shards held, with their key ranges, by service, shard and snapshot.
        std::map<std::tuple<ServiceId, ShardId, SnapshotId>, Shard> held;
        std::list<std::shared_ptr<Job>> jobs;
        std::vector<ConnectionRef> connections;
        std::set<const VirtualHost *> unreachableFrom;
    };

    void accept(const ConnectionRef &connection);
    void end(const ConnectionRef &connection, ConnectionEnd how, Duration delay);
    void send(const ConnectionRef &connection, const SubRequest &request);
    void receive(const ConnectionRef &connection, const SubRequest &request);
    void startJobs(FakeServer &server);
    void execute(FakeServer &server, const std::shared_ptr<Job> &job);
    void finish(FakeServer &server, const std::shared_ptr<Job> &job);
    void cancel(const ConnectionRef &idle, SubRequestId request);
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
    std::vector<std::unique_ptr<VirtualHost>> m_deadProcesses;
    std::string m_crashPayload;
    std::uint64_t m_lastConnection = 0;
    int m_lastProcess = 1000;
};

/// The connections of one daemon.
class FakeServerPort final : public ServerNetwork
{
public:
    FakeServerPort(FakeServerFleet &fleet, VirtualHost &host)
        : m_fleet(fleet)
        , m_host(host)
    {
    }

    void send(ConnectionId connection, const SubRequest &request) override;
    void cancel(ConnectionId idle, SubRequestId request) override;
    ConnectionId open(const Server &server, ServerNetworkListener &listener) override;
    void close(ConnectionId connection) override;

private:
    FakeServerFleet &m_fleet;
    VirtualHost &m_host;
    std::map<ConnectionId, FakeServerFleet::ConnectionRef> m_connections;
};

} // namespace oleander::fakes
