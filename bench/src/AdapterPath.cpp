#include "Asio.h"

#include <oleander/adapters/servers/AsioServerNetwork.h>
#include <oleander/adapters/servers/ServerCodec.h>
#include <oleander/bench/AdapterPath.h>
#include <oleander/standins/ServerFleet.h>
#include <oleander/standins/StandinDocuments.h>

namespace oleander::bench {

namespace {

SubRequest subRequest(const AdapterPathShape &shape)
{
    SubRequest request;
    request.id = SubRequestId(1);
    request.caller = CallerId("engineer-desk");
    request.request = RequestId("request-000001");
    request.service = ServiceId("session-dashboard");
    request.shard = ShardId("shard-01");
    request.snapshot = SnapshotId(1);
    request.timeLeft = seconds(1);
    request.payload.assign(shape.payloadBytes, 'p');
    return request;
}

standins::ServerShape serverShape(const AdapterPathShape &shape)
{
    standins::ServerShape server;
    server.serviceTime = Duration{};
    server.documentsPerShard = shape.documents;
    server.documentBytes = shape.documentBytes;
    return server;
}

/// Sends the next sub-request on a connection as soon as it has its reply.
class Exchanger final : public ServerNetworkListener
{
public:
    Exchanger(asio::io_context &context, const AdapterPathShape &shape)
        : m_network(context, {})
        , m_request(subRequest(shape))
    {
    }

    void open(const Server &server) { m_network.open(server, *this); }
    [[nodiscard]] std::uint64_t exchanges() const { return m_exchanges; }
    [[nodiscard]] int opened() const { return m_opened; }

    void onConnectionOpened(ConnectionId connection) override
    {
        ++m_opened;
        sendNext(connection);
    }
    void onConnectionEnded(ConnectionId, ConnectionEnd) override {}
    void onReply(ConnectionId connection, const SubReply &reply) override
    {
        m_exchanges += reply.kind == ReplyKind::Ok ? 1 : 0;
        sendNext(connection);
    }

private:
    void sendNext(ConnectionId connection)
    {
        m_request.id = SubRequestId(m_request.id.value() + 1);
        m_network.send(connection, m_request);
    }

    AsioServerNetwork m_network;
    SubRequest m_request;
    std::uint64_t m_exchanges = 0;
    int m_opened = 0;
};

std::size_t httpBytes(std::size_t bodyBytes, const std::string &firstLineAndFields)
{
    return firstLineAndFields.size() + std::to_string(bodyBytes).size() + bodyBytes;
}

} // namespace

BarePathSizes sizesOf(const AdapterPathShape &shape)
{
    const auto request = subRequest(shape);
    SubReply reply;
    reply.id = request.id;
    reply.kind = ReplyKind::Ok;
    reply.shard = request.shard;
    reply.snapshot = request.snapshot;
    reply.documents =
        standins::documentsOf(request.shard, request.snapshot, request.payload, serverShape(shape));
    std::string requestBody;
    std::string replyBody;
    encodeSubRequest(ServerClientId(1), request, requestBody);
    encodeSubReply(reply, replyBody);
    const std::string type = "Content-Type: application/msgpack\r\nContent-Length: \r\n\r\n";
    BarePathSizes sizes;
    sizes.connections = shape.connections;
    sizes.serverThreads = shape.serverThreads;
    sizes.requestBytes = httpBytes(requestBody.size(),
                                   "POST /v1/shard HTTP/1.1\r\nHost: 127.0.0.1:30000\r\n" + type);
    sizes.replyBytes = httpBytes(replyBody.size(), "HTTP/1.1 200 OK\r\n" + type);
    return sizes;
}

PathRate runAdapterPath(const AdapterPathShape &shape, Duration length)
{
    standins::ServerFleet fleet(serverShape(shape), shape.serverThreads);
    asio::io_context context(1);
    Exchanger exchanger(context, shape);
    Reason reason;
    for (int number = 0; number < shape.connections; ++number) {
        Server server;
        server.id = ServerId("server-" + std::to_string(number));
        server.address = "127.0.0.1:0";
        server.slots = 2;
        const auto port = fleet.addServer(server, reason);
        server.address = "127.0.0.1:" + std::to_string(port.value_or(0));
        exchanger.open(server);
    }
    while (exchanger.opened() < shape.connections && context.run_one() != 0) {
    }
    const auto before = exchanger.exchanges();
    const auto processorBefore = threadProcessorTime();
    const auto begin = std::chrono::steady_clock::now();
    context.run_for(length);
    const auto wall = std::chrono::steady_clock::now() - begin;
    return {exchanger.exchanges() - before, std::chrono::duration_cast<Duration>(wall),
            threadProcessorTime() - processorBefore};
}

} // namespace oleander::bench
