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

/// Why an attempt ended without a usable reply. In each case the server may have executed it.
enum class AttemptLoss {
    /// The connection ended under it.
    ConnectionLost,
    /// The reply was no valid one.
    ProtocolError,
    /// The connection fell silent and was closed.
    Silent,
};

/// Told what becomes of attempts and of capacity.
class ServerPoolListener
{
public:
    virtual ~ServerPoolListener() = default;

    virtual void onAttemptReply(std::size_t server, const SubReply &reply, Duration latency) = 0;
    virtual void onAttemptLost(std::size_t server, SubRequestId attempt, AttemptLoss loss) = 0;
    /// The server can take at least one more sub-request now.
    virtual void onCapacity(std::size_t server) = 0;
    /// A server with requests in flight was lost. Called before their onAttemptLost().
    virtual void onServerLost(std::size_t server, const std::vector<SubRequestId> &inFlight) = 0;
};

/// One backend server as this coordinator sees it.
struct PooledServer
{
    Server info;
    ServerHealth health;
    /// Open connections with nothing in flight; the last one was used most recently.
    std::vector<ConnectionId> idle;
    int open = 0;
    int opening = 0;
    /// Sub-requests in flight, also those that nobody waits for any more.
    int inFlight = 0;
    /// While set, nothing else is sent to this server.
    bool isReserved = false;
    /// Whether the newest partition map names the server.
    bool isListed = true;
    TimePoint nextOpen{};
    Duration openDelay{};
    /// Waiting for proof that a fresh connection works while another is silent.
    std::optional<ConnectionId> probe;
    SubRequestId probedAttempt;
    TimePoint probeStarted{};
    std::optional<TimePoint> probeAnswered;
    TimePoint lastLoss{};
    /// Last reply to a sub-request.
    TimePoint lastReply{};
};

/// Connections of one coordinator to the servers of its service.
///
/// The pool never opens more connections to a server than the part of its cap that the policy
/// leaves to one coordinator, keeps them warm, gives a connection to one sub-request at a time, and
/// never reuses one with an unread reply. It tells slow servers from silent connections by asking
/// on a fresh connection. See ServiceCoordinator, which decides what is sent where.
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
    /// Whether the server may get new work now, capacity aside.
    [[nodiscard]] bool isEligible(std::size_t server, TimePoint now, bool acceptEjected) const;
    /// Sub-requests the server may have in flight, zero when no connection is idle.
    [[nodiscard]] int capacity(std::size_t server, TimePoint now) const;
    /// Sends on an idle connection. The server must have capacity.
    void send(std::size_t server, const SubRequest &request, bool reserve);
    /// Asks the server to stop executing an attempt; best effort.
    void cancel(std::size_t server, SubRequestId attempt);
    /// Closes the connection of an attempt that nobody waits for any more.
    void abandon(std::size_t server, SubRequestId attempt);

    // Servers
    /// Takes over the servers of a published map; others keep what is in flight and get no more.
    void adopt(const PartitionMap &map, const Policy &policy);
    /// Index of a server that was adopted once.
    [[nodiscard]] std::size_t indexOf(const ServerId &server) const { return m_byId.at(server); }
    [[nodiscard]] const PooledServer &server(std::size_t index) const { return m_servers[index]; }
    [[nodiscard]] std::size_t size() const { return m_servers.size(); }
    [[nodiscard]] int connections() const { return static_cast<int>(m_connections.size()); }
    /// Closes everything; attempts in flight are not reported.
    void closeAll();

    // Evidence
    void noteDrainingReply(std::size_t server);
    void noteShedReply(std::size_t server);

    /// Opens missing connections, looks for silent ones, ejects outliers. Called on each beat.
    void maintain(TimePoint now, Duration usualLatency, bool isAfterPause);

    // ServerNetworkListener
    void onConnectionOpened(ConnectionId connection) override;
    void onConnectionEnded(ConnectionId connection, ConnectionEnd end) override;
    void onReply(ConnectionId connection, const SubReply &reply) override;

private:
    enum class Use { Opening, Idle, Executing, Cancelling };

    struct Connection
    {
        std::size_t server = 0;
        Use use = Use::Opening;
        SubRequestId inFlight;
        TimePoint openedAt{};
        TimePoint busySince{};
        bool isReserving = false;
        /// Asking whether the connection is silent cancels what runs on it, so it must be harmless.
        bool mayBeCancelled = true;
    };

    using Connections = std::unordered_map<ConnectionId, Connection>;

    [[nodiscard]] int allowedConnections(const PooledServer &server) const;
    void openMissing(std::size_t index, TimePoint now);
    void openOne(std::size_t index);
    void becomeIdle(ConnectionId id, Connection &connection);
    void finishExecuting(Connection &connection);
    void removeIdle(PooledServer &server, ConnectionId id);
    void forget(Connections::iterator found);
    void closeQuietly(ConnectionId id);
    void handleLoss(std::size_t index, SubRequestId attempt, AttemptLoss loss);
    [[nodiscard]] std::vector<SubRequestId> executingOn(std::size_t index) const;

    /// For each server a copy of the connection that has owed a reply longest, if any does.
    [[nodiscard]] std::vector<Connection> oldestExecuting() const;
    void lookForSilence(std::size_t index, const Connection &oldest, TimePoint now,
                        Duration usualLatency);
    void startProbe(std::size_t index, SubRequestId attempt, TimePoint now);
    void askOnProbe(std::size_t index, ConnectionId probe);
    void concludeProbe(std::size_t index, TimePoint now);
    void closeSilent(std::size_t index, TimePoint openedBefore, TimePoint now);
    void ejectOutlier(std::size_t index, TimePoint now, Duration usualLatency);

    Ports m_ports;
    ServerPoolListener &m_listener;
    Policy m_policy;
    std::vector<PooledServer> m_servers;
    std::unordered_map<ServerId, std::size_t> m_byId;
    Connections m_connections;
};

} // namespace oleander
