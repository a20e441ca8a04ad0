#include "coordinator/ServerPool.h"

#include <algorithm>
#include <string>

namespace oleander {

namespace {

/// A reply later than this many usual latencies is looked into, at the earliest after the silence
/// limit of the policy.
constexpr int usualLatencyFactor = 4;
/// A server that answered on a fresh connection has this long to answer on the old one too.
constexpr Duration answerGrace = milliseconds(50);
/// Failures that a server is charged with when it accepts connections and answers none.
constexpr int failuresOfFrozenServer = 3;

} // namespace

void ServerPool::maintain(TimePoint now, Duration usualLatency, bool isAfterPause)
{
    if (isAfterPause) {
        // One's own pause is not held against servers: waiting times start anew.
        for (auto &entry : m_connections)
            entry.second.busySince = now;
        return;
    }
    const std::vector<Connection> oldest = oldestExecuting();
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        openMissing(index, now);
        lookForSilence(index, oldest[index], now, usualLatency);
        ejectOutlier(index, now, usualLatency);
    }
}

std::vector<ServerPool::Connection> ServerPool::oldestExecuting() const
{
    std::vector<Connection> oldest(m_servers.size());
    for (const auto &[id, connection] : m_connections) {
        if (connection.use != Use::Executing || !connection.mayBeCancelled)
            continue;
        Connection &current = oldest[connection.server];
        if (current.inFlight.isNone() || connection.busySince < current.busySince)
            current = connection;
    }
    return oldest;
}

void ServerPool::lookForSilence(std::size_t index, const Connection &oldest, TimePoint now,
                                Duration usualLatency)
{
    const PooledServer &server = m_servers[index];
    if (server.probe || server.probeAnswered) {
        concludeProbe(index, now);
        return;
    }
    const Duration limit = std::max(m_policy.silenceLimit, usualLatencyFactor * usualLatency);
    if (!oldest.inFlight.isNone() && now - oldest.busySince > limit)
        startProbe(index, oldest.inFlight, now);
}

void ServerPool::startProbe(std::size_t index, SubRequestId attempt, TimePoint now)
{
    PooledServer &server = m_servers[index];
    // A fresh connection takes the place of an idle one. When all are busy, perhaps all silent, it
    // comes out of the part of the cap that connectionShare keeps free.
    const bool isFull = server.open + server.opening >= allowedConnections(server);
    if (isFull && !server.idle.empty())
        closeQuietly(server.idle.front());
    ++server.opening;
    const ConnectionId id = m_ports.network.open(server.info, *this);
    Connection connection;
    connection.server = index;
    connection.openedAt = now;
    m_connections.emplace(id, connection);
    server.probe = id;
    server.probedAttempt = attempt;
    server.probeStarted = now;
}

void ServerPool::askOnProbe(std::size_t index, ConnectionId probe)
{
    Connection &connection = m_connections.at(probe);
    connection.use = Use::Cancelling;
    connection.inFlight = m_servers[index].probedAttempt;
    connection.busySince = m_ports.timers.now();
    m_ports.network.cancel(probe, connection.inFlight);
}

void ServerPool::concludeProbe(std::size_t index, TimePoint now)
{
    PooledServer &server = m_servers[index];
    if (server.probeAnswered) {
        if (now - *server.probeAnswered < answerGrace)
            return;
        server.probeAnswered.reset();
        closeSilent(index, server.probeStarted, now);
        return;
    }
    if (now - server.probeStarted < m_policy.silenceLimit)
        return;
    // Neither the old nor the fresh connection brings an answer: the server itself is stuck.
    server.health.consecutiveFailures += failuresOfFrozenServer;
    closeQuietly(*server.probe);
    closeSilent(index, now, now);
}

void ServerPool::closeSilent(std::size_t index, TimePoint openedBefore, TimePoint now)
{
    // No connection of that age has brought a reply since the question was asked.
    const bool allAreSilent = m_servers[index].lastReply < m_servers[index].probeStarted;
    std::vector<ConnectionId> silent;
    std::vector<ConnectionId> sameAge;
    for (const auto &[id, connection] : m_connections) {
        if (connection.server != index || connection.openedAt >= openedBefore)
            continue;
        const bool isOverdue = now - connection.busySince > m_policy.silenceLimit
                               || (allAreSilent && connection.busySince < openedBefore);
        if (connection.use == Use::Executing && connection.mayBeCancelled && isOverdue)
            silent.push_back(id);
        if (connection.use == Use::Idle)
            sameAge.push_back(id);
    }
    if (silent.empty())
        return;
    m_ports.log.record(EventId::ServerSilent, m_servers[index].info.id.text() + ": "
                                                  + std::to_string(silent.size())
                                                  + " connections closed");
    for (const ConnectionId id : sameAge)
        closeQuietly(id);
    for (const ConnectionId id : silent) {
        Connection &connection = m_connections.at(id);
        const SubRequestId attempt = connection.inFlight;
        finishExecuting(connection);
        closeQuietly(id);
        m_listener.onAttemptLost(index, attempt, AttemptLoss::Silent);
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
