#include "coordinator/ServerPool.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace oleander {

namespace {

constexpr Duration minimumOpenDelay = milliseconds(50);
constexpr Duration maximumOpenDelay = seconds(2);
/// Connections to one server that are lost within this time count as one loss of the server.
constexpr Duration lossMergeWindow = milliseconds(100);

} // namespace

ServerPool::ServerPool(Ports ports, ServerPoolListener &listener)
    : m_ports(ports)
    , m_listener(listener)
{
}

ServerPool::~ServerPool()
{
    closeAll();
}

bool ServerPool::isEligible(std::size_t index, TimePoint now, bool acceptEjected) const
{
    const PooledServer &server = m_servers[index];
    if (!server.isListed || server.info.isLeaving || server.isReserved)
        return false;
    if (isDraining(server.health, now))
        return false;
    return acceptEjected || !isEjected(server.health, now);
}

int ServerPool::capacity(std::size_t index, TimePoint now) const
{
    const PooledServer &server = m_servers[index];
    if (server.idle.empty())
        return 0;
    return concurrencyLimit(server.health, server.info.slots, m_policy, now);
}

void ServerPool::send(std::size_t index, const SubRequest &request, bool reserve)
{
    PooledServer &server = m_servers[index];
    // The caller must check capacity() first.
    assert(!server.idle.empty());
    const ConnectionId id = server.idle.back();
    server.idle.pop_back();
    Connection &connection = m_connections.at(id);
    connection.state = ConnectionState::Executing;
    connection.inFlight = request.id;
    connection.busySince = m_ports.timers.now();
    connection.holdsReservation = reserve;
    connection.mayBeCancelled = request.isIdempotent;
    ++server.inFlight;
    server.isReserved = reserve;
    m_ports.network.send(id, request);
}

void ServerPool::cancel(std::size_t index, SubRequestId attempt)
{
    PooledServer &server = m_servers[index];
    if (server.idle.empty())
        return;
    const ConnectionId id = server.idle.back();
    server.idle.pop_back();
    Connection &connection = m_connections.at(id);
    connection.state = ConnectionState::Cancelling;
    connection.inFlight = attempt;
    connection.busySince = m_ports.timers.now();
    m_ports.network.cancel(id, attempt);
}

void ServerPool::abandon(std::size_t index, SubRequestId attempt)
{
    const auto found = std::ranges::find_if(m_connections, [&](const auto &entry) {
        return entry.second.server == index && entry.second.inFlight == attempt
               && entry.second.state == ConnectionState::Executing;
    });
    if (found == m_connections.end())
        return;
    finishExecuting(found->second);
    closeConnection(found->first);
}

void ServerPool::applyPartitionMap(const PartitionMap &map, const Policy &policy)
{
    m_policy = policy;
    const TimePoint now = m_ports.timers.now();
    for (PooledServer &server : m_servers)
        server.isListed = false;
    for (const auto &[id, info] : map.servers) {
        const auto known = m_byId.find(id);
        if (known != m_byId.end()) {
            m_servers[known->second].info = info;
            m_servers[known->second].isListed = true;
            continue;
        }
        m_byId.emplace(id, m_servers.size());
        PooledServer server;
        server.info = info;
        server.health.slowStartSince = now - policy.slowStart;
        m_servers.push_back(std::move(server));
    }
    for (std::size_t index = 0; index < m_servers.size(); ++index)
        openMissingConnections(index, now);
}

void ServerPool::closeAll()
{
    while (!m_connections.empty())
        closeConnection(m_connections.begin()->first);
}

void ServerPool::onDrainingReply(std::size_t index)
{
    PooledServer &server = m_servers[index];
    const TimePoint now = m_ports.timers.now();
    if (!isDraining(server.health, now))
        m_ports.log.record(EventId::ServerDraining, server.info.id.text());
    noteDraining(server.health, now, m_policy);
}

void ServerPool::onShedReply(std::size_t index)
{
    noteServerShed(m_servers[index].health);
}

void ServerPool::onConnectionOpened(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    Connection &connection = found->second;
    PooledServer &server = m_servers[connection.server];
    --server.openingCount;
    ++server.openCount;
    server.openDelay = Duration{};
    connection.openedAt = m_ports.timers.now();
    if (server.probe == id) {
        sendProbe(connection.server, id);
        return;
    }
    markIdle(id, connection);
}

void ServerPool::onConnectionEnded(ConnectionId id, ConnectionEnd end)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    const Connection connection = found->second;
    const std::size_t index = connection.server;
    const TimePoint now = m_ports.timers.now();
    std::vector<SubRequestId> inFlight;
    if (connection.state == ConnectionState::Executing) {
        inFlight = attemptsExecutingOn(index);
        finishExecuting(found->second);
    }
    forget(found);
    PooledServer &server = m_servers[index];
    if (server.probe == id)
        server.probe.reset();
    if (end == ConnectionEnd::NotOpened) {
        noteFailure(server.health);
        server.openDelay = std::clamp(2 * server.openDelay, minimumOpenDelay, maximumOpenDelay);
        const auto jitter = static_cast<std::int64_t>(
            m_ports.random.below(static_cast<std::uint64_t>(server.openDelay.count())));
        server.nextOpenAt = now + server.openDelay / 2 + Duration(jitter);
        return;
    }
    if (connection.state != ConnectionState::Executing)
        return;
    noteFailure(server.health);
    m_ports.log.record(EventId::ServerConnectionLost, server.info.id.text());
    if (end == ConnectionEnd::Lost && now >= server.lastLoss + lossMergeWindow) {
        server.lastLoss = now;
        m_listener.onServerLost(index, inFlight);
    }
    const auto loss =
        end == ConnectionEnd::Lost ? AttemptLoss::ConnectionLost : AttemptLoss::ProtocolError;
    m_listener.onAttemptLost(index, connection.inFlight, loss);
}

void ServerPool::onReply(ConnectionId id, const SubReply &reply)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    Connection &connection = found->second;
    const std::size_t index = connection.server;
    PooledServer &server = m_servers[index];
    if (reply.id != connection.inFlight || connection.state == ConnectionState::Idle) {
        const Connection broken = connection;
        if (broken.state == ConnectionState::Executing)
            finishExecuting(connection);
        closeConnection(id);
        if (broken.state == ConnectionState::Executing)
            m_listener.onAttemptLost(index, broken.inFlight, AttemptLoss::ProtocolError);
        return;
    }
    if (connection.state == ConnectionState::Cancelling) {
        if (server.probe == id) {
            server.probe.reset();
            server.probeAnswered = m_ports.timers.now();
        }
        markIdle(id, connection);
        return;
    }
    const Duration latency = m_ports.timers.now() - connection.busySince;
    finishExecuting(connection);
    server.lastReply = m_ports.timers.now();
    if (reply.kind == ReplyKind::Ok)
        noteReply(server.health, latency, reply.reportedLoad);
    connection.state = ConnectionState::Idle;
    connection.inFlight = SubRequestId{};
    server.idle.push_back(id);
    m_listener.onAttemptReply(index, reply, latency);
    if (!m_servers[index].idle.empty())
        m_listener.onCapacityAvailable(index);
}

int ServerPool::allowedConnections(const PooledServer &server) const
{
    // While a daemon is being replaced, there may be one coordinator more than configured.
    const std::int64_t holders = std::int64_t{m_policy.coordinators} + 1;
    const std::int64_t share =
        std::int64_t{server.info.connectionCap} * m_policy.connectionShare.value / 1000 / holders;
    return static_cast<int>(std::clamp<std::int64_t>(share, 1, m_policy.connectionsPerServer));
}

void ServerPool::openMissingConnections(std::size_t index, TimePoint now)
{
    const PooledServer &server = m_servers[index];
    if (!server.isListed || server.info.isLeaving || now < server.nextOpenAt)
        return;
    const int allowed = allowedConnections(server);
    const bool hasFailedToOpen = server.openDelay.count() > 0;
    const int wanted = hasFailedToOpen ? std::min(allowed, server.openCount + 1) : allowed;
    while (server.openCount + server.openingCount < wanted)
        openConnection(index);
    // A connection that was opened as a probe may exceed the limit until an idle one can be closed.
    while (server.openCount + server.openingCount > allowed && !server.idle.empty())
        closeConnection(server.idle.front());
}

void ServerPool::openConnection(std::size_t index)
{
    ++m_servers[index].openingCount;
    const ConnectionId id = m_ports.network.open(m_servers[index].info, *this);
    Connection connection;
    connection.server = index;
    connection.openedAt = m_ports.timers.now();
    m_connections.emplace(id, connection);
}

void ServerPool::markIdle(ConnectionId id, Connection &connection)
{
    connection.state = ConnectionState::Idle;
    connection.inFlight = SubRequestId{};
    const std::size_t index = connection.server;
    m_servers[index].idle.push_back(id);
    m_listener.onCapacityAvailable(index);
}

void ServerPool::finishExecuting(Connection &connection)
{
    PooledServer &server = m_servers[connection.server];
    --server.inFlight;
    if (connection.holdsReservation)
        server.isReserved = false;
    connection.holdsReservation = false;
}

void ServerPool::removeIdle(PooledServer &server, ConnectionId id)
{
    std::erase(server.idle, id);
}

void ServerPool::forget(Connections::iterator found)
{
    PooledServer &server = m_servers[found->second.server];
    if (found->second.state == ConnectionState::Opening)
        --server.openingCount;
    else
        --server.openCount;
    if (found->second.state == ConnectionState::Idle)
        removeIdle(server, found->first);
    m_connections.erase(found);
}

void ServerPool::closeConnection(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    PooledServer &server = m_servers[found->second.server];
    if (server.probe == id)
        server.probe.reset();
    forget(found);
    m_ports.network.close(id);
}

std::vector<SubRequestId> ServerPool::attemptsExecutingOn(std::size_t index) const
{
    std::vector<SubRequestId> attempts;
    for (const auto &[id, connection] : m_connections) {
        if (connection.server == index && connection.state == ConnectionState::Executing)
            attempts.push_back(connection.inFlight);
    }
    return attempts;
}

} // namespace oleander
