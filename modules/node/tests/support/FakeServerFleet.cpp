#include "FakeServerFleet.h"

#include "TestDocuments.h"

#include <algorithm>

namespace oleander::fakes {

namespace {

constexpr Duration oneWayLatency = microseconds(500);
constexpr Duration openTimeout = milliseconds(500);
constexpr Duration lateReplyDelay = milliseconds(400);
/// Time from the start of a crashing execution to the loss of the server.
constexpr Duration crashDelay = milliseconds(1);
constexpr Duration crashRestartDelay = seconds(5);

std::string describe(const SubRequest &request)
{
    return request.caller.text() + "/" + request.request.text() + " " + request.shard.text() + "@"
           + std::to_string(request.snapshot.value());
}

} // namespace

FakeServerFleet::FakeServerFleet(VirtualClock &clock, History &history, std::uint64_t seed)
    : m_clock(clock)
    , m_history(history)
    , m_random(seed)
{
}

FakeServerFleet::~FakeServerFleet() = default;

void FakeServerFleet::addServer(const Server &server, const ServerBehaviour &behaviour)
{
    FakeServer &added = m_servers[server.id];
    added.definition = server;
    added.behaviour = behaviour;
    added.process = std::make_unique<VirtualProcess>(m_clock, ++m_lastProcess);
}

void FakeServerFleet::publish(const PartitionMap &map)
{
    for (const Shard &shard : map.shards) {
        for (const ServerId &replica : shard.replicas) {
            const auto key = std::make_tuple(map.service, shard.id, map.snapshot);
            m_servers.at(replica).loadedShards.insert_or_assign(key, shard);
        }
    }
}

std::unique_ptr<ServerNetwork> FakeServerFleet::connect(VirtualProcess &process)
{
    return std::make_unique<FakeServerNetwork>(*this, process);
}

void FakeServerFleet::dropSnapshot(SnapshotId snapshot)
{
    for (auto &[id, server] : m_servers)
        std::erase_if(server.loadedShards,
                      [&](const auto &entry) { return std::get<2>(entry.first) == snapshot; });
}

// Faults

void FakeServerFleet::kill(const ServerId &server)
{
    FakeServer &killed = m_servers.at(server);
    if (!killed.process->isAlive())
        return;
    killed.process->kill();
    killed.jobs.clear();
    for (const ConnectionRef &connection : openConnections(server))
        end(connection, ConnectionEnd::Lost, oneWayLatency);
}

void FakeServerFleet::restart(const ServerId &server)
{
    FakeServer &restarted = m_servers.at(server);
    if (restarted.process->isAlive())
        return;
    m_endedProcesses.push_back(std::move(restarted.process));
    restarted.process = std::make_unique<VirtualProcess>(m_clock, ++m_lastProcess);
    restarted.connections.clear();
}

void FakeServerFleet::freeze(const ServerId &server)
{
    m_servers.at(server).process->freeze(true);
}

void FakeServerFleet::wake(const ServerId &server)
{
    m_servers.at(server).process->wake();
}

void FakeServerFleet::silenceConnections(const ServerId &server)
{
    for (const ConnectionRef &connection : openConnections(server))
        connection->isSilent = true;
}

void FakeServerFleet::closeConnections(const ServerId &server)
{
    for (const ConnectionRef &connection : openConnections(server))
        end(connection, ConnectionEnd::Lost, Duration{});
}

void FakeServerFleet::dropServerEnds(const ServerId &server)
{
    for (const ConnectionRef &connection : openConnections(server))
        connection->isHalfOpen = true;
}

void FakeServerFleet::setReachable(const VirtualProcess &process, const ServerId &server,
                                   bool isReachable)
{
    FakeServer &target = m_servers.at(server);
    if (isReachable) {
        target.unreachableFrom.erase(&process);
        return;
    }
    target.unreachableFrom.insert(&process);
    for (const ConnectionRef &connection : openConnections(server))
        connection->isSilent = connection->isSilent || connection->client == &process;
}

void FakeServerFleet::closeConnectionsOf(const VirtualProcess &process)
{
    for (auto &[id, server] : m_servers) {
        for (const ConnectionRef &connection : openConnections(id))
            connection->isEnded = connection->isEnded || connection->client == &process;
    }
}

// Connections

std::vector<FakeServerFleet::ConnectionRef> FakeServerFleet::openConnections(const ServerId &server)
{
    auto &all = m_servers.at(server).connections;
    std::erase_if(all, [](const ConnectionRef &each) { return each->isEnded; });
    return all;
}

void FakeServerFleet::accept(const ConnectionRef &connection)
{
    FakeServer &server = m_servers.at(connection->server);
    const int open = static_cast<int>(openConnections(connection->server).size());
    if (open >= server.definition.connectionCap) {
        ++m_history.refusedConnections;
        end(connection, ConnectionEnd::NotOpened, oneWayLatency);
        return;
    }
    ++m_history.acceptedConnections;
    connection->process = server.process.get();
    server.connections.push_back(connection);
    connection->client->run(oneWayLatency, [connection] {
        if (connection->isEnded || connection->isSilent)
            return;
        connection->isOpen = true;
        connection->listener->onConnectionOpened(connection->id);
    });
}

void FakeServerFleet::end(const ConnectionRef &connection, ConnectionEnd kind, Duration delay)
{
    if (connection->isSilent && kind == ConnectionEnd::Lost)
        return;
    connection->client->run(delay, [connection, kind] {
        if (std::exchange(connection->isEnded, true))
            return;
        connection->listener->onConnectionEnded(connection->id, kind);
    });
}

void FakeServerFleet::send(const ConnectionRef &connection, const SubRequest &request)
{
    const int daemon = connection->client->index();
    m_history.sends.push_back({m_clock.now(), daemon, connection->server, request});
    m_history.addTraceLine("d" + std::to_string(daemon) + " sends " + describe(request) + " to "
                           + connection->server.text());
    m_history.recordStage(QueryStage::Sent, request.caller, request.request);
    const Duration pause = connection->client->consumePauseAtSend();
    if (connection->isSilent)
        return;
    if (connection->isHalfOpen) {
        end(connection, ConnectionEnd::Lost, 2 * oneWayLatency);
        return;
    }
    FakeServer &server = m_servers.at(connection->server);
    if (server.process.get() != connection->process)
        return;
    server.process->run(oneWayLatency + pause,
                        [this, connection, request] { receive(connection, request); });
}

void FakeServerFleet::deliver(const ConnectionRef &connection, const SubRequest &request,
                              const SubReply &reply, Duration delay)
{
    connection->client->run(delay, [this, connection, request, reply] {
        if (connection->isEnded || connection->isSilent || connection->isHalfOpen)
            return;
        if (reply.kind == ReplyKind::Draining)
            m_history.drains.push_back(
                {m_clock.now(), connection->client->index(), connection->server});
        m_history.addTraceLine(connection->server.text() + " replies "
                               + std::string(nameOf(reply.kind)) + " " + reply.shard.text() + "@"
                               + std::to_string(reply.snapshot.value()) + " to d"
                               + std::to_string(connection->client->index()));
        connection->listener->onReply(connection->id, reply);
        if (reply.kind == ReplyKind::Ok)
            m_history.recordReply(request.caller, request.request, request.shard);
    });
}

// Execution

int FakeServerFleet::loadOf(const FakeServer &server)
{
    if (server.behaviour.reportedLoad >= 0)
        return server.behaviour.reportedLoad;
    return static_cast<int>(server.jobs.size());
}

Duration FakeServerFleet::serviceTimeOf(const ServerBehaviour &behaviour)
{
    if (m_random.chance(behaviour.stragglersPerThousand))
        return behaviour.stragglerTime;
    return m_random.between(behaviour.serviceTime, behaviour.serviceTime * 5 / 4);
}

void FakeServerFleet::receive(const ConnectionRef &connection, const SubRequest &request)
{
    FakeServer &server = m_servers.at(connection->server);
    const auto job = std::make_shared<Job>(Job{connection, request, m_clock.now()});
    if (server.behaviour.isDraining)
        return reply(server, *job, ReplyKind::Draining);
    if (server.behaviour.isShedding)
        return reply(server, *job, ReplyKind::Shed);
    if (!server.loadedShards.contains({request.service, request.shard, request.snapshot}))
        return reply(server, *job, ReplyKind::WrongSnapshot);
    server.jobs.push_back(job);
    startJobs(server);
}

void FakeServerFleet::startJobs(FakeServer &server)
{
    for (auto next = server.jobs.begin(); next != server.jobs.end();) {
        const std::shared_ptr<Job> job = *next++;
        const auto running =
            std::ranges::count_if(server.jobs, [](const auto &each) { return each->isRunning; });
        if (running >= server.definition.slots)
            return;
        if (job->isRunning)
            continue;
        if (m_clock.now() <= job->receivedAt + job->request.timeLeft) {
            execute(server, job);
            continue;
        }
        server.jobs.remove(job);
        reply(server, *job, ReplyKind::Shed);
    }
}

void FakeServerFleet::execute(FakeServer &server, const std::shared_ptr<Job> &job)
{
    const ServerId id = server.definition.id;
    job->isRunning = true;
    m_history.executions.push_back(
        {m_clock.now(), job->connection->client->index(), id, job->request});
    if (!m_crashPayload.empty() && job->request.payload == m_crashPayload) {
        m_history.crashedServers.insert(id);
        server.process->run(crashDelay, [this, id] {
            kill(id);
            m_clock.after(crashRestartDelay, m_lastProcess, [this, id] { restart(id); });
        });
        return;
    }
    server.process->run(serviceTimeOf(server.behaviour),
                        [this, &server, job] { finish(server, job); });
}

void FakeServerFleet::finish(FakeServer &server, const std::shared_ptr<Job> &job)
{
    if (job->isCancelled)
        return;
    server.jobs.remove(job);
    reply(server, *job, ReplyKind::Ok);
    startJobs(server);
}

void FakeServerFleet::cancel(const ConnectionRef &idleConnection, SubRequestId request)
{
    FakeServer &server = m_servers.at(idleConnection->server);
    const auto found = std::ranges::find_if(server.jobs, [&](const auto &job) {
        return job->connection->client == idleConnection->client && job->request.id == request;
    });
    if (found != server.jobs.end()) {
        const std::shared_ptr<Job> job = *found;
        job->isCancelled = true;
        server.jobs.erase(found);
        reply(server, *job, ReplyKind::Cancelled);
        startJobs(server);
    }
    SubReply acknowledgement;
    acknowledgement.id = request;
    acknowledgement.kind = ReplyKind::Cancelled;
    deliver(idleConnection, {}, acknowledgement, oneWayLatency);
}

// Replies

void FakeServerFleet::reply(FakeServer &server, const Job &job, ReplyKind kind)
{
    const SubRequest &request = job.request;
    SubReply reply{request.id, kind, request.shard, request.snapshot, {}, loadOf(server)};
    ReplyFault fault = ReplyFault::None;
    if (server.behaviour.remainingFaultyReplies > 0) {
        --server.behaviour.remainingFaultyReplies;
        fault = server.behaviour.replyFault;
    }
    if (kind == ReplyKind::Ok) {
        if (fault == ReplyFault::NextSnapshot)
            reply.snapshot = SnapshotId(request.snapshot.value() + 1);
        const auto loaded =
            server.loadedShards.find({request.service, request.shard, request.snapshot});
        if (loaded == server.loadedShards.end()) {
            reply.kind = ReplyKind::Failed;
        } else {
            const Shard &shard = loaded->second;
            reply.documents = documentsIn(shard.firstKey, shard.endKey, reply.snapshot,
                                          request.caller, request.request);
            applyLimit(reply.documents, request.limit);
        }
    }
    replyWithFault(job, std::move(reply), fault);
}

void FakeServerFleet::replyWithFault(const Job &job, SubReply reply, ReplyFault fault)
{
    switch (fault) {
    case ReplyFault::None:
    case ReplyFault::NextSnapshot:
        break;
    case ReplyFault::Delayed:
        return deliver(job.connection, job.request, reply, lateReplyDelay);
    case ReplyFault::WrongRequest:
        reply.id = SubRequestId(reply.id.value() + 1);
        for (Document &document : reply.documents)
            document.body = "of another request";
        break;
    case ReplyFault::Duplicated:
        deliver(job.connection, job.request, reply, oneWayLatency);
        break;
    case ReplyFault::Truncated:
        return end(job.connection, ConnectionEnd::ProtocolError, oneWayLatency);
    case ReplyFault::ConnectionLost:
        return end(job.connection, ConnectionEnd::Lost, oneWayLatency);
    }
    deliver(job.connection, job.request, reply, oneWayLatency);
}

// The network of one daemon

void FakeServerNetwork::send(ConnectionId connection, const SubRequest &request)
{
    m_fleet.send(m_connections.at(connection), request);
}

void FakeServerNetwork::cancel(ConnectionId idleConnection, SubRequestId request)
{
    const auto connection = m_connections.at(idleConnection);
    auto &server = m_fleet.m_servers.at(connection->server);
    if (connection->isSilent || connection->isHalfOpen
        || server.process.get() != connection->process)
        return;
    server.process->run(oneWayLatency, [fleet = &m_fleet, connection, request] {
        fleet->cancel(connection, request);
    });
}

ConnectionId FakeServerNetwork::open(const Server &server, ServerNetworkListener &listener)
{
    const auto connection = std::make_shared<FakeServerFleet::Connection>();
    connection->id = ConnectionId(++m_fleet.m_lastConnection);
    connection->client = &m_process;
    connection->listener = &listener;
    connection->server = server.id;
    m_connections.emplace(connection->id, connection);
    auto &target = m_fleet.m_servers.at(server.id);
    m_fleet.m_clock.after(openTimeout, m_process.index(), [fleet = &m_fleet, connection] {
        if (!connection->isOpen)
            fleet->end(connection, ConnectionEnd::NotOpened, Duration{});
    });
    if (target.unreachableFrom.contains(&m_process))
        return connection->id;
    if (!target.process->isAlive()) {
        m_fleet.end(connection, ConnectionEnd::NotOpened, 2 * oneWayLatency);
        return connection->id;
    }
    target.process->run(oneWayLatency + target.behaviour.connectionSetupTime,
                        [fleet = &m_fleet, connection] { fleet->accept(connection); });
    return connection->id;
}

void FakeServerNetwork::close(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    found->second->isEnded = true;
    m_connections.erase(found);
}

} // namespace oleander::fakes
