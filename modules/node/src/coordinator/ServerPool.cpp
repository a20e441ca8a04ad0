#include "coordinator/ServerPool.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace oleander {

namespace {

constexpr Duration firstOpenDelay = milliseconds(50);
constexpr Duration longestOpenDelay = seconds(2);
/// Losses of one server within this time are one event.
constexpr Duration sameLoss = milliseconds(100);

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
    // The caller did not check capacity() first.
    assert(!server.idle.empty());
    const ConnectionId id = server.idle.back();
    server.idle.pop_back();
    Connection &connection = m_connections.at(id);
    connection.use = Use::Executing;
    connection.inFlight = request.id;
    connection.busySince = m_ports.timers.now();
    connection.isReserving = reserve;
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
    connection.use = Use::Cancelling;
    connection.inFlight = attempt;
    connection.busySince = m_ports.timers.now();
    m_ports.network.cancel(id, attempt);
}

void ServerPool::abandon(std::size_t index, SubRequestId attempt)
{
    const auto found = std::ranges::find_if(m_connections, [&](const auto &entry) {
        return entry.second.server == index && entry.second.inFlight == attempt
               && entry.second.use == Use::Executing;
    });
    if (found == m_connections.end())
        return;
    finishExecuting(found->second);
    closeQuietly(found->first);
}

void ServerPool::adopt(const PartitionMap &map, const Policy &policy)
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
        openMissing(index, now);
}

void ServerPool::closeAll()
{
    while (!m_connections.empty())
        closeQuietly(m_connections.begin()->first);
}

void ServerPool::noteDrainingReply(std::size_t index)
{
    PooledServer &server = m_servers[index];
    const TimePoint now = m_ports.timers.now();
    if (!isDraining(server.health, now))
        m_ports.log.record(EventId::ServerDraining, server.info.id.text());
    noteDraining(server.health, now, m_policy);
}

void ServerPool::noteShedReply(std::size_t index)
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
    --server.opening;
    ++server.open;
    server.openDelay = Duration{};
    connection.openedAt = m_ports.timers.now();
    if (server.probe == id) {
        askOnProbe(connection.server, id);
        return;
    }
    becomeIdle(id, connection);
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
    if (connection.use == Use::Executing) {
        inFlight = executingOn(index);
        finishExecuting(found->second);
    }
    forget(found);
    PooledServer &server = m_servers[index];
    if (server.probe == id)
        server.probe.reset();
    if (end == ConnectionEnd::NotOpened) {
        noteFailure(server.health);
        server.openDelay = std::clamp(2 * server.openDelay, firstOpenDelay, longestOpenDelay);
        const auto jitter = static_cast<std::int64_t>(
            m_ports.random.below(static_cast<std::uint64_t>(server.openDelay.count())));
        server.nextOpen = now + server.openDelay / 2 + Duration(jitter);
        return;
    }
    if (connection.use != Use::Executing)
        return;
    noteFailure(server.health);
    m_ports.log.record(EventId::ServerConnectionLost, server.info.id.text());
    if (end == ConnectionEnd::Lost && now >= server.lastLoss + sameLoss) {
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
    if (reply.id != connection.inFlight || connection.use == Use::Idle) {
        const Connection broken = connection;
        if (broken.use == Use::Executing)
            finishExecuting(connection);
        closeQuietly(id);
        if (broken.use == Use::Executing)
            m_listener.onAttemptLost(index, broken.inFlight, AttemptLoss::ProtocolError);
        return;
    }
    if (connection.use == Use::Cancelling) {
        if (server.probe == id) {
            server.probe.reset();
            server.probeAnswered = m_ports.timers.now();
        }
        becomeIdle(id, connection);
        return;
    }
    const Duration latency = m_ports.timers.now() - connection.busySince;
    finishExecuting(connection);
    server.lastReply = m_ports.timers.now();
    if (reply.kind == ReplyKind::Ok)
        noteReply(server.health, latency, reply.reportedLoad);
    connection.use = Use::Idle;
    connection.inFlight = SubRequestId{};
    server.idle.push_back(id);
    m_listener.onAttemptReply(index, reply, latency);
    if (!m_servers[index].idle.empty())
        m_listener.onCapacity(index);
}

int ServerPool::allowedConnections(const PooledServer &server) const
{
    // One coordinator more than configured may be at work while a daemon is replaced.
    const std::int64_t holders = std::int64_t{m_policy.coordinators} + 1;
    const std::int64_t share =
        std::int64_t{server.info.connectionCap} * m_policy.connectionShare.value / 1000 / holders;
    return static_cast<int>(std::clamp<std::int64_t>(share, 1, m_policy.connectionsPerServer));
}

void ServerPool::openMissing(std::size_t index, TimePoint now)
{
    const PooledServer &server = m_servers[index];
    if (!server.isListed || server.info.isLeaving || now < server.nextOpen)
        return;
    const int allowed = allowedConnections(server);
    const bool isSuspect = server.openDelay.count() > 0;
    const int wanted = isSuspect ? std::min(allowed, server.open + 1) : allowed;
    while (server.open + server.opening < wanted)
        openOne(index);
    // A connection that was opened as a test stays until an older one is idle.
    while (server.open + server.opening > allowed && !server.idle.empty())
        closeQuietly(server.idle.front());
}

void ServerPool::openOne(std::size_t index)
{
    ++m_servers[index].opening;
    const ConnectionId id = m_ports.network.open(m_servers[index].info, *this);
    Connection connection;
    connection.server = index;
    connection.openedAt = m_ports.timers.now();
    m_connections.emplace(id, connection);
}

void ServerPool::becomeIdle(ConnectionId id, Connection &connection)
{
    connection.use = Use::Idle;
    connection.inFlight = SubRequestId{};
    const std::size_t index = connection.server;
    m_servers[index].idle.push_back(id);
    m_listener.onCapacity(index);
}

void ServerPool::finishExecuting(Connection &connection)
{
    PooledServer &server = m_servers[connection.server];
    --server.inFlight;
    if (connection.isReserving)
        server.isReserved = false;
    connection.isReserving = false;
}

void ServerPool::removeIdle(PooledServer &server, ConnectionId id)
{
    std::erase(server.idle, id);
}

void ServerPool::forget(Connections::iterator found)
{
    PooledServer &server = m_servers[found->second.server];
    if (found->second.use == Use::Opening)
        --server.opening;
    else
        --server.open;
    if (found->second.use == Use::Idle)
        removeIdle(server, found->first);
    m_connections.erase(found);
}

void ServerPool::closeQuietly(ConnectionId id)
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

std::vector<SubRequestId> ServerPool::executingOn(std::size_t index) const
{
    std::vector<SubRequestId> attempts;
    for (const auto &[id, connection] : m_connections) {
        if (connection.server == index && connection.use == Use::Executing)
            attempts.push_back(connection.inFlight);
    }
    return attempts;
}

} // namespace oleander
