#include <oleander/adapters/servers/ServerCodec.h>
#include <oleander/standins/StandinDocuments.h>

#include <benchmark/benchmark.h>

/// Microbenchmark of the codec towards backend servers: one sub-request, and one reply by its
/// number of documents.

namespace {

using namespace oleander;

void subRequest(benchmark::State &state)
{
    SubRequest request;
    request.id = SubRequestId(7);
    request.caller = CallerId("engineer-desk");
    request.request = RequestId("request-000001");
    request.service = ServiceId("session-dashboard");
    request.shard = ShardId("shard-01");
    request.payload.assign(static_cast<std::size_t>(state.range(0)), 'p');
    std::string body;
    Reason reason;
    for (auto step : state) {
        body.clear();
        encodeSubRequest(ServerClientId(1), request, body);
        benchmark::DoNotOptimize(decodeSubRequest(body, reason));
    }
}
BENCHMARK(subRequest)->Arg(100)->Arg(10000);

void subReply(benchmark::State &state)
{
    standins::ServerShape shape;
    shape.documentsPerShard = static_cast<int>(state.range(0));
    SubReply reply;
    reply.id = SubRequestId(7);
    reply.kind = ReplyKind::Ok;
    reply.documents = standins::documentsOf(ShardId("shard-01"), SnapshotId(1), "payload", shape);
    std::string body;
    Reason reason;
    for (auto step : state) {
        body.clear();
        encodeSubReply(reply, body);
        benchmark::DoNotOptimize(decodeSubReply(body, reason));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(subReply)->RangeMultiplier(4)->Range(4, 256)->Complexity(benchmark::oN);

} // namespace

BENCHMARK_MAIN();
