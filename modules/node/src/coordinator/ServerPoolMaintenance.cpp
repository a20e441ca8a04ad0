#include "coordinator/ServerPool.h"

#include <algorithm>
#include <string>

namespace oleander {

namespace {

/// A connection is probed if its reply takes longer than this multiple of the usual latency, but
/// not before the silence limit of the policy has passed.
constexpr int usualLatencyFactor = 4;
/// How long a server that has answered the probe still has to answer on the old connection.
constexpr Duration probeGracePeriod = milliseconds(50);
/// Failures added to the health of a server that accepts connections but answers on none of them.
constexpr int failuresOfFrozenServer = 3;

} // namespace

void ServerPool::maintain(TimePoint now, Duration usualLatency, bool isAfterPause)
{
    if (isAfterPause) {
        // This process was paused, so the elapsed times say nothing about the servers. Restart
        // them.
        for (auto &entry : m_connections)
            entry.second.busySince = now;
        return;
    }
    const std::vector<Connection> oldest = oldestExecuting();
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        openMissingConnections(index, now);
        detectOverdueReply(index, oldest[index], now, usualLatency);
        ejectOutlier(index, now, usualLatency);
    }
}

std::vector<ServerPool::Connection> ServerPool::oldestExecuting() const
{
    std::vector<Connection> oldest(m_servers.size());
    for (const auto &[id, connection] : m_connections) {
        if (connection.state != ConnectionState::Executing || !connection.mayBeCancelled)
            continue;
        Connection &current = oldest[connection.server];
        if (current.inFlight.isNone() || connection.busySince < current.busySince)
            current = connection;
    }
    return oldest;
}

void ServerPool::detectOverdueReply(std::size_t index, const Connection &oldest, TimePoint now,
                                    Duration usualLatency)
{
    const PooledServer &server = m_servers[index];
    if (server.probe || server.probeAnswered) {
        evaluateProbe(index, now);
        return;
    }
    const Duration limit = std::max(m_policy.silenceLimit, usualLatencyFactor * usualLatency);
    if (!oldest.inFlight.isNone() && now - oldest.busySince > limit)
        startProbe(index, oldest.inFlight, now);
}

void ServerPool::startProbe(std::size_t index, SubRequestId attempt, TimePoint now)
{
    PooledServer &server = m_servers[index];
    // The probe connection replaces an idle one. If all connections are busy, and perhaps all
    // with an overdue reply, it uses the part of the connection cap that connectionShare keeps
    // free.
    const bool isFull = server.openCount + server.openingCount >= allowedConnections(server);
    if (isFull && !server.idle.empty())
        closeConnection(server.idle.front());
    ++server.openingCount;
    const ConnectionId id = m_ports.network.open(server.info, *this);
    Connection connection;
    connection.server = index;
    connection.openedAt = now;
    m_connections.emplace(id, connection);
    server.probe = id;
    server.probedAttempt = attempt;
    server.probeStarted = now;
}

void ServerPool::sendProbe(std::size_t index, ConnectionId probe)
{
    Connection &connection = m_connections.at(probe);
    connection.state = ConnectionState::Cancelling;
    connection.inFlight = m_servers[index].probedAttempt;
    connection.busySince = m_ports.timers.now();
    m_ports.network.cancel(probe, connection.inFlight);
}

void ServerPool::evaluateProbe(std::size_t index, TimePoint now)
{
    PooledServer &server = m_servers[index];
    if (server.probeAnswered) {
        if (now - *server.probeAnswered < probeGracePeriod)
            return;
        server.probeAnswered.reset();
        closeOverdueConnections(index, server.probeStarted, now);
        return;
    }
    if (now - server.probeStarted < m_policy.silenceLimit)
        return;
    // Neither the old nor the new connection got an answer, so the server itself does not respond.
    server.health.consecutiveFailures += failuresOfFrozenServer;
    closeConnection(*server.probe);
    closeOverdueConnections(index, now, now);
}

void ServerPool::closeOverdueConnections(std::size_t index, TimePoint openedBefore, TimePoint now)
{
    // The server has sent no reply on any connection since the probe was started.
    const bool isServerSilent = m_servers[index].lastReply < m_servers[index].probeStarted;
    std::vector<ConnectionId> overdue;
    std::vector<ConnectionId> idleOfSameAge;
    for (const auto &[id, connection] : m_connections) {
        if (connection.server != index || connection.openedAt >= openedBefore)
            continue;
        const bool isOverdue = now - connection.busySince > m_policy.silenceLimit
                               || (isServerSilent && connection.busySince < openedBefore);
        if (connection.state == ConnectionState::Executing && connection.mayBeCancelled
            && isOverdue)
            overdue.push_back(id);
        if (connection.state == ConnectionState::Idle)
            idleOfSameAge.push_back(id);
    }
    if (overdue.empty())
        return;
    m_ports.log.record(EventId::ServerSilent, m_servers[index].info.id.text() + ": "
                                                  + std::to_string(overdue.size())
                                                  + " connections closed");
    for (const ConnectionId id : idleOfSameAge)
        closeConnection(id);
    for (const ConnectionId id : overdue) {
        Connection &connection = m_connections.at(id);
        const SubRequestId attempt = connection.inFlight;
        finishExecuting(connection);
        closeConnection(id);
        m_listener.onAttemptLost(index, attempt, AttemptLoss::ReplyOverdue);
    }
}

void ServerPool::ejectOutlier(std::size_t index, TimePoint now, Duration usualLatency)
{
    PooledServer &server = m_servers[index];
    if (isEjected(server.health, now) || !isOutlier(server.health, usualLatency))
        return;
    const auto ejected = std::ranges::count_if(
        m_servers, [&](const PooledServer &other) { return isEjected(other.health, now); });
    const auto listed =
        std::ranges::count_if(m_servers, [](const PooledServer &other) { return other.isListed; });
    if (!mayEject(static_cast<int>(ejected), static_cast<int>(listed), m_policy.ejectionLimit))
        return;
    eject(server.health, now, m_policy);
    m_ports.log.record(EventId::ServerEjected, server.info.id.text());
}

} // namespace oleander
