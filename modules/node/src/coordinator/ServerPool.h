#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/SubRequest.h>
#include <oleander/decisions/request/ServerHealth.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/RandomSource.h>
#include <oleander/ports/ServerNetwork.h>
#include <oleander/ports/TimerService.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace oleander {

/// Why an attempt ended without a usable reply. In each case the server may have executed the
/// sub-request.
enum class AttemptLoss {
    /// The connection was lost while the sub-request was in flight.
    ConnectionLost,
    /// The reply was invalid.
    ProtocolError,
    /// The connection was closed because it received no reply in time.
    ReplyOverdue,
};

/// Receives the results of attempts and is notified of lost servers and free capacity.
class ServerPoolListener
{
public:
    virtual ~ServerPoolListener() = default;

    virtual void onAttemptReply(std::size_t server, const SubReply &reply, Duration latency) = 0;
    virtual void onAttemptLost(std::size_t server, SubRequestId attempt, AttemptLoss loss) = 0;
    /// The server can accept at least one more sub-request now.
    virtual void onCapacityAvailable(std::size_t server) = 0;
    /// A server with requests in flight was lost. Called before onAttemptLost() for these requests.
    virtual void onServerLost(std::size_t server, const std::vector<SubRequestId> &inFlight) = 0;
};

/// State of one backend server from the viewpoint of this coordinator.
struct PooledServer
{
    Server info;
    ServerHealth health;
    /// Open connections with nothing in flight, the most recently used one last.
    std::vector<ConnectionId> idle;
    int openCount = 0;
    int openingCount = 0;
    /// Number of sub-requests in flight, including those whose result is no longer needed.
    int inFlight = 0;
    /// While set, no other sub-request is sent to this server.
    bool isReserved = false;
    /// Whether the newest partition map lists the server.
    bool isListed = true;
    TimePoint nextOpenAt{};
    Duration openDelay{};
    /// Connection that was opened to check whether the server answers while the reply on another
    /// connection is overdue.
    std::optional<ConnectionId> probe;
    SubRequestId probedAttempt;
    TimePoint probeStarted{};
    std::optional<TimePoint> probeAnswered;
    TimePoint lastLoss{};
    /// When the server last replied to a sub-request.
    TimePoint lastReply{};
};

/// Manages the connections of one coordinator to the servers of its service.
///
/// The policy grants each coordinator a share of a server's connection cap, and the pool never
/// opens more connections than that, except for probes. It keeps connections open for reuse, sends
/// one sub-request at a time on a connection, and never reuses a connection with an unread reply.
/// To tell a slow server from a broken connection, it sends a probe on a new connection.
/// ServiceCoordinator decides what is sent to which server.
class ServerPool : public ServerNetworkListener
{
public:
    struct Ports
    {
        TimerService &timers;
        ServerNetwork &network;
        RandomSource &random;
        EventLog &log;
    };

    ServerPool(Ports ports, ServerPoolListener &listener);
    ~ServerPool() override;
    ServerPool(const ServerPool &) = delete;
    ServerPool &operator=(const ServerPool &) = delete;

    // Sending
    /// Whether new sub-requests may be sent to the server now, apart from its capacity.
    [[nodiscard]] bool isEligible(std::size_t server, TimePoint now, bool acceptEjected) const;
    /// Maximum number of sub-requests in flight at the server; zero if no connection is idle.
    [[nodiscard]] int capacity(std::size_t server, TimePoint now) const;
    /// Sends on an idle connection. The server must have capacity. With `reserve`, nothing else is
    /// sent to the server until this sub-request has ended.
    void send(std::size_t server, const SubRequest &request, bool reserve);
    /// Asks the server to stop executing an attempt; best effort.
    void cancel(std::size_t server, SubRequestId attempt);
    /// Closes the connection of an attempt whose result is no longer needed.
    void abandon(std::size_t server, SubRequestId attempt);

    // Servers
    /// Uses the servers of a published map. Servers that the map does not list finish their
    /// sub-requests in flight and get no new ones.
    void applyPartitionMap(const PartitionMap &map, const Policy &policy);
    /// Index of a server that any applied map has listed.
    [[nodiscard]] std::size_t indexOf(const ServerId &server) const { return m_byId.at(server); }
    [[nodiscard]] const PooledServer &server(std::size_t index) const { return m_servers[index]; }
    [[nodiscard]] std::size_t size() const { return m_servers.size(); }
    [[nodiscard]] int connections() const { return static_cast<int>(m_connections.size()); }
    /// Closes all connections; attempts in flight are not reported.
    void closeAll();

    // Observations from replies
    void onDrainingReply(std::size_t server);
    void onShedReply(std::size_t server);

    /// Opens missing connections, closes those with an overdue reply and ejects outliers. Called
    /// on each heartbeat. With `isAfterPause`, it only restarts the waiting times of the
    /// connections.
    void maintain(TimePoint now, Duration usualLatency, bool isAfterPause);

    // ServerNetworkListener
    void onConnectionOpened(ConnectionId connection) override;
    void onConnectionEnded(ConnectionId connection, ConnectionEnd end) override;
    void onReply(ConnectionId connection, const SubReply &reply) override;

private:
    enum class ConnectionState { Opening, Idle, Executing, Cancelling };

    struct Connection
    {
        std::size_t server = 0;
        ConnectionState state = ConnectionState::Opening;
        SubRequestId inFlight;
        TimePoint openedAt{};
        TimePoint busySince{};
        bool holdsReservation = false;
        /// Whether the sub-request is idempotent. An overdue reply is only investigated then,
        /// because the probe cancels the sub-request.
        bool mayBeCancelled = true;
    };

    using Connections = std::unordered_map<ConnectionId, Connection>;

    [[nodiscard]] int allowedConnections(const PooledServer &server) const;
    void openMissingConnections(std::size_t index, TimePoint now);
    void openConnection(std::size_t index);
    void markIdle(ConnectionId id, Connection &connection);
    void finishExecuting(Connection &connection);
    void removeIdle(PooledServer &server, ConnectionId id);
    void forget(Connections::iterator found);
    void closeConnection(ConnectionId id);
    void handleLoss(std::size_t index, SubRequestId attempt, AttemptLoss loss);
    [[nodiscard]] std::vector<SubRequestId> attemptsExecutingOn(std::size_t index) const;

    /// For each server, a copy of the connection that has waited longest for a reply. Its
    /// `inFlight` is none if no connection waits.
    [[nodiscard]] std::vector<Connection> oldestExecuting() const;
    void detectOverdueReply(std::size_t index, const Connection &oldest, TimePoint now,
                            Duration usualLatency);
    void startProbe(std::size_t index, SubRequestId attempt, TimePoint now);
    void sendProbe(std::size_t index, ConnectionId probe);
    void evaluateProbe(std::size_t index, TimePoint now);
    void closeOverdueConnections(std::size_t index, TimePoint openedBefore, TimePoint now);
    void ejectOutlier(std::size_t index, TimePoint now, Duration usualLatency);

    Ports m_ports;
    ServerPoolListener &m_listener;
    Policy m_policy;
    std::vector<PooledServer> m_servers;
    std::unordered_map<ServerId, std::size_t> m_byId;
    Connections m_connections;
};

} // namespace oleander
