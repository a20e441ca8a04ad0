#include "Asio.h"

#include <oleander/adapters/servers/AsioServerNetwork.h>
#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/adapters/time/SeededRandom.h>
#include <oleander/bench/CoordinatorPath.h>
#include <oleander/node/QueryNode.h>
#include <oleander/standins/ServerFleet.h>

namespace oleander::bench {

namespace {

constexpr std::uint64_t seed = 1;

/// No peer is ever called: the only instance coordinates the only service.
class NoPeers final : public PeerNetwork
{
public:
    PeerCallId call(const Instance &, PeerRequest, Duration, PeerCallback) override { return {}; }
    void cancel(PeerCallId) override {}
    void setHandler(PeerHandler *) override {}
    void beginStop() override {}
};

class NoLog final : public EventLog
{
public:
    void record(EventId, const RequestId &, std::string_view) override {}
};

class SubRequestCounter final : public QueryObserver
{
public:
    void onQueryFinished(const Query &, const Answer &, Duration) override {}
    void onSubRequestFinished(const SubRequestRecord &record) override
    {
        m_count += record.kind == ReplyKind::Ok ? 1 : 0;
    }
    [[nodiscard]] std::uint64_t count() const { return m_count; }

private:
    std::uint64_t m_count = 0;
};

class OneView final : public ViewSource
{
public:
    explicit OneView(std::shared_ptr<const FleetView> view)
        : m_view(std::move(view))
    {
    }
    [[nodiscard]] std::shared_ptr<const FleetView> view() const override { return m_view; }

private:
    std::shared_ptr<const FleetView> m_view;
};

Server addServer(standins::ServerFleet &fleet, int number)
{
    Reason reason;
    Server server;
    server.id = ServerId("server-" + std::to_string(number));
    server.address = "127.0.0.1:0";
    server.slots = 2;
    server.connectionCap = 64;
    const auto port = fleet.addServer(server, reason);
    server.address = "127.0.0.1:" + std::to_string(port.value_or(0));
    return server;
}

std::shared_ptr<const FleetView> viewOf(standins::ServerFleet &fleet, int shards)
{
    auto map = std::make_shared<PartitionMap>();
    map->backend = BackendId("session-dashboard");
    map->service = ServiceId("session-dashboard");
    map->version = SectionVersion(1);
    map->snapshot = SnapshotId(1);
    for (int number = 0; number < shards; ++number) {
        const Server server = addServer(fleet, number);
        const std::string key = std::to_string(1000 + number);
        const std::string endKey = std::to_string(1001 + number);
        map->shards.push_back({ShardId("shard-" + key),
                               number == 0 ? "" : key,
                               number + 1 == shards ? "" : endKey,
                               {server.id}});
        map->servers.emplace(server.id, server);
    }
    auto policies = std::make_shared<PolicySet>();
    policies->version = SectionVersion(1);
    policies->defaults.coordinators = 1;
    policies->defaults.connectionsPerServer = 1;
    policies->defaults.queueLimit = seconds(1);
    auto instances = std::make_shared<InstanceList>();
    instances->version = SectionVersion(1);
    instances->instances.push_back({InstanceId("entry-1"), DataCentreId("dc"), "", "", false});
    auto view = std::make_shared<FleetView>();
    view->policies = std::move(policies);
    view->instances = std::move(instances);
    view->partitions.emplace(map->service, map);
    return view;
}

/// Submits the next query as soon as one is answered.
class QueryLoop
{
public:
    QueryLoop(QueryNode &node, std::size_t payloadBytes)
        : m_node(node)
    {
        m_query.caller = CallerId("engineer-desk");
        m_query.request = RequestId("request-000001");
        m_query.backend = BackendId("session-dashboard");
        m_query.payload.assign(payloadBytes, 'p');
        m_query.deadline = seconds(2);
        m_query.patience = Patience::Coverage;
    }

    void submit()
    {
        m_node.submit(m_query, [this](const Answer &answer) {
            m_answered += answer.outcome == Outcome::Answered ? 1 : 0;
            submit();
        });
    }
    [[nodiscard]] std::uint64_t answered() const { return m_answered; }

private:
    QueryNode &m_node;
    Query m_query;
    std::uint64_t m_answered = 0;
};

} // namespace

PathRate runCoordinatorPath(const AdapterPathShape &shape, int queries, Duration length)
{
    standins::ServerShape server;
    server.serviceTime = Duration{};
    server.documentsPerShard = shape.documents;
    server.documentBytes = shape.documentBytes;
    standins::ServerFleet fleet(server, shape.serverThreads);
    asio::io_context context(1);
    AsioTimerService timers(context);
    AsioServerNetwork network(context, {});
    SeededRandom random(seed);
    NoPeers peers;
    NoLog log;
    SubRequestCounter counter;
    const OneView views(viewOf(fleet, shape.connections));
    QueryNode node({timers, network, peers, random, views, log, counter},
                   {InstanceId("entry-1"), DataCentreId("dc"), 0, 1});
    context.run_for(milliseconds(200));

    QueryLoop loop(node, shape.payloadBytes);
    for (int number = 0; number < queries; ++number)
        loop.submit();
    context.run_for(milliseconds(200));
    const auto before = counter.count();
    const auto processorBefore = threadProcessorTime();
    const auto begin = std::chrono::steady_clock::now();
    context.run_for(length);
    const auto wall = std::chrono::steady_clock::now() - begin;
    return {counter.count() - before, std::chrono::duration_cast<Duration>(wall),
            threadProcessorTime() - processorBefore};
}

} // namespace oleander::bench
