#include <oleander/bench/UnmanagedEntry.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace oleander::bench {

namespace {

/// A query that waits for its shards.
struct Gathering
{
    Query query;
    std::function<void(Answer)> done;
    TimePoint begun;
    TimePoint deadline;
    Answer answer;
    std::set<ShardId> waiting;
    Subscription timer;
};

/// One shard's part of a query, queued or sent.
struct Part
{
    QueryTicket ticket;
    ShardId shard;
};

/// Connections to one server and what waits for them.
struct ServerQueue
{
    const Server *server = nullptr;
    int connections = 0;
    std::vector<ConnectionId> idle;
    std::deque<Part> waiting;
};

bool isBefore(const Document &left, const Document &right)
{
    return left.score != right.score ? left.score > right.score : left.id < right.id;
}

void addOnce(std::vector<Document> &all, const std::vector<Document> &more)
{
    for (const auto &document : more) {
        const auto same = [&](const Document &known) { return known.id == document.id; };
        if (std::none_of(all.begin(), all.end(), same))
            all.push_back(document);
    }
}

} // namespace

class UnmanagedEntry::Impl final : public ServerNetworkListener
{
public:
    Impl(Ports ports, PartitionMap map, int connectionsPerServer)
        : m_ports(ports)
        , m_map(std::move(map))
        , m_connectionsPerServer(connectionsPerServer)
    {
    }

    QueryTicket submit(Query query, std::function<void(Answer)> done)
    {
        const QueryTicket ticket(++m_lastTicket);
        auto &gathering = m_open[ticket];
        gathering.query = std::move(query);
        gathering.done = std::move(done);
        gathering.begun = m_ports.timers.now();
        const auto timeLeft = gathering.query.deadline.value_or(seconds(1));
        gathering.deadline = gathering.begun + timeLeft;
        gathering.timer =
            m_ports.timers.callAfter(timeLeft, [this, ticket](const auto &) { finish(ticket); });
        for (const auto &shard : m_map.shards)
            gathering.waiting.insert(shard.id);
        for (const auto &shard : m_map.shards)
            enqueue(shard.replicas[m_ports.random.below(shard.replicas.size())],
                    {ticket, shard.id});
        return ticket;
    }

    void abandon(QueryTicket ticket) { m_open.erase(ticket); }

    void onConnectionOpened(ConnectionId connection) override
    {
        auto &queue = m_queues[m_serverOf[connection]];
        queue.idle.push_back(connection);
        sendWaiting(queue);
    }

    void onConnectionEnded(ConnectionId connection, ConnectionEnd) override
    {
        auto &queue = m_queues[m_serverOf[connection]];
        m_serverOf.erase(connection);
        std::erase(queue.idle, connection);
        --queue.connections;
        const auto sent = m_inFlight.extract(connection);
        if (!sent.empty())
            endPart(sent.mapped(), nullptr);
        if (queue.connections > 0)
            return;
        // Nothing is left that could carry what waits.
        for (const auto &part : std::exchange(queue.waiting, {}))
            endPart(part, nullptr);
    }

    void onReply(ConnectionId connection, const SubReply &reply) override
    {
        const auto sent = m_inFlight.extract(connection);
        auto &queue = m_queues[m_serverOf[connection]];
        queue.idle.push_back(connection);
        sendWaiting(queue);
        if (!sent.empty())
            endPart(sent.mapped(), &reply);
    }

private:
    void enqueue(const ServerId &server, Part part)
    {
        auto &queue = m_queues[server];
        queue.server = &m_map.servers.at(server);
        queue.waiting.push_back(std::move(part));
        sendWaiting(queue);
        if (queue.waiting.empty() || queue.connections >= m_connectionsPerServer)
            return;
        ++queue.connections;
        m_serverOf[m_ports.servers.open(*queue.server, *this)] = server;
    }

    void sendWaiting(ServerQueue &queue)
    {
        while (!queue.idle.empty() && !queue.waiting.empty()) {
            const auto part = std::move(queue.waiting.front());
            queue.waiting.pop_front();
            const auto open = m_open.find(part.ticket);
            if (open == m_open.end())
                continue;
            const auto connection = queue.idle.back();
            queue.idle.pop_back();
            m_inFlight[connection] = part;
            m_ports.servers.send(connection, subRequest(open->second, part.shard));
        }
    }

    SubRequest subRequest(const Gathering &gathering, const ShardId &shard)
    {
        const auto &query = gathering.query;
        SubRequest request;
        request.id = SubRequestId(++m_lastSubRequest);
        request.caller = query.caller;
        request.request = query.request;
        request.service = m_map.service;
        request.shard = shard;
        request.snapshot = m_map.snapshot;
        request.timeLeft = gathering.deadline - m_ports.timers.now();
        request.urgency = query.urgency;
        request.isIdempotent = query.isIdempotent;
        request.payload = query.payload;
        request.limit = query.limit;
        return request;
    }

    void endPart(const Part &part, const SubReply *reply)
    {
        const auto open = m_open.find(part.ticket);
        if (open == m_open.end())
            return;
        auto &gathering = open->second;
        gathering.waiting.erase(part.shard);
        if (reply && reply->kind == ReplyKind::Ok) {
            ++gathering.answer.coverage.answered;
            addOnce(gathering.answer.documents, reply->documents);
        } else {
            gathering.answer.coverage.missing.push_back(part.shard);
        }
        if (gathering.waiting.empty())
            finish(part.ticket);
    }

    void finish(QueryTicket ticket)
    {
        const auto open = m_open.extract(ticket);
        if (open.empty())
            return;
        const auto &gathering = open.mapped();
        auto answer = gathering.answer;
        auto &missing = answer.coverage.missing;
        missing.insert(missing.end(), gathering.waiting.begin(), gathering.waiting.end());
        answer.coverage.asked = static_cast<int>(m_map.shards.size());
        answer.snapshot = m_map.snapshot;
        answer.ran = ExecutionState::MaybeRan;
        answer.outcome = missing.empty() ? Outcome::Answered : Outcome::Partial;
        answer.timings.total = m_ports.timers.now() - gathering.begun;
        std::sort(answer.documents.begin(), answer.documents.end(), isBefore);
        gathering.done(std::move(answer));
    }

    Ports m_ports;
    PartitionMap m_map;
    int m_connectionsPerServer;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastSubRequest = 0;
    std::map<QueryTicket, Gathering> m_open;
    std::map<ServerId, ServerQueue> m_queues;
    std::unordered_map<ConnectionId, ServerId> m_serverOf;
    std::unordered_map<ConnectionId, Part> m_inFlight;
};

UnmanagedEntry::UnmanagedEntry(Ports ports, PartitionMap map, int connectionsPerServer)
    : m_impl(std::make_unique<Impl>(ports, std::move(map), connectionsPerServer))
{
}

UnmanagedEntry::~UnmanagedEntry() = default;

QueryTicket UnmanagedEntry::submit(Query query, std::function<void(Answer)> done)
{
    return m_impl->submit(std::move(query), std::move(done));
}

void UnmanagedEntry::abandon(QueryTicket ticket)
{
    m_impl->abandon(ticket);
}

} // namespace oleander::bench
