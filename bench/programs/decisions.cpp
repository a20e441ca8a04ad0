#include <oleander/adapters/servers/ServerCodec.h>
#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/request/CrashMemory.h>
#include <oleander/decisions/request/LatencyWindow.h>
#include <oleander/decisions/request/Merge.h>
#include <oleander/decisions/request/Plan.h>
#include <oleander/decisions/request/ReplicaChoice.h>
#include <oleander/decisions/request/RequestMemory.h>
#include <oleander/standins/StandinDocuments.h>

#include <benchmark/benchmark.h>

/// Microbenchmarks of the decisions and the codec. The argument is the number of shards, or what
/// the decision's cost may grow with; each prints its fitted growth.

namespace {

using namespace oleander;

constexpr int firstSize = 16;
constexpr int lastSize = 256;

void sizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->RangeMultiplier(2)->Range(firstSize, lastSize)->Complexity(benchmark::oN);
}

std::string numbered(const char *name, int number)
{
    return name + std::to_string(number);
}

std::string keyOf(int shard)
{
    constexpr int width = 6;
    auto digits = std::to_string(shard);
    return std::string(width - digits.size(), '0') + digits;
}

PartitionMap mapOf(int shards)
{
    PartitionMap map;
    map.backend = BackendId("backend");
    map.service = ServiceId("service");
    map.version = SectionVersion(1);
    map.snapshot = SnapshotId(1);
    for (int number = 0; number < shards; ++number) {
        Shard shard;
        shard.id = ShardId(numbered("shard-", number));
        shard.firstKey = number == 0 ? std::string() : keyOf(number);
        shard.endKey = number + 1 == shards ? std::string() : keyOf(number + 1);
        for (int replica = 0; replica < 2; ++replica) {
            const ServerId server(numbered("server-", 2 * number + replica));
            shard.replicas.push_back(server);
            map.servers[server].id = server;
        }
        map.shards.push_back(std::move(shard));
    }
    return map;
}

Query query()
{
    Query result;
    result.caller = CallerId("caller");
    result.request = RequestId("request");
    result.backend = BackendId("backend");
    result.payload = "find: reference tracks";
    return result;
}

void plan(benchmark::State &state)
{
    const auto map = std::make_shared<const PartitionMap>(mapOf(static_cast<int>(state.range(0))));
    const auto asked = query();
    Reason reason;
    for (auto step : state)
        benchmark::DoNotOptimize(planQuery(asked, map, reason));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(plan)->Apply(sizes);

void planKeyRange(benchmark::State &state)
{
    const auto shards = static_cast<int>(state.range(0));
    const auto map = std::make_shared<const PartitionMap>(mapOf(shards));
    auto asked = query();
    asked.firstKey = keyOf(shards / 4);
    asked.endKey = keyOf(shards / 2);
    Reason reason;
    for (auto step : state)
        benchmark::DoNotOptimize(planQuery(asked, map, reason));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(planKeyRange)->Apply(sizes);

void merge(benchmark::State &state)
{
    const auto shards = static_cast<int>(state.range(0));
    const auto map = std::make_shared<const PartitionMap>(mapOf(shards));
    Reason reason;
    const auto planned = planQuery(query(), map, reason);
    std::vector<std::vector<Document>> parts;
    parts.reserve(map->shards.size());
    for (const auto &shard : map->shards)
        parts.push_back(standins::documentsOf(shard.id, map->snapshot, "payload", {}));
    for (auto step : state) {
        auto merged = startMerge(*planned);
        for (std::size_t position = 0; position < parts.size(); ++position)
            addPart(merged, position, parts[position]);
        benchmark::DoNotOptimize(coverageOf(*planned, merged));
        benchmark::DoNotOptimize(mergedDocuments(std::move(merged), 0));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(merge)->Apply(sizes);

void route(benchmark::State &state)
{
    const auto shards = static_cast<std::size_t>(state.range(0));
    std::vector<ReplicaCandidate> candidates(2);
    candidates[1].index = 1;
    candidates[0].concurrencyLimit = 2;
    candidates[1].concurrencyLimit = 2;
    for (auto step : state) {
        for (std::size_t shard = 0; shard < shards; ++shard) {
            candidates[0].inFlight = static_cast<int>(shard % 2);
            benchmark::DoNotOptimize(chooseReplica(candidates, shard));
        }
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(route)->Apply(sizes);

void latencyWindow(benchmark::State &state)
{
    const auto shards = state.range(0);
    LatencyWindow window;
    for (auto step : state) {
        for (std::int64_t shard = 0; shard < shards; ++shard)
            window.add(Duration(5000 + shard));
        benchmark::DoNotOptimize(window.quantile(PerMille{950}, Duration(5000)));
    }
    state.SetComplexityN(shards);
}
BENCHMARK(latencyWindow)->Apply(sizes);

void fingerprint(benchmark::State &state)
{
    const ServiceId service("service");
    const std::string payload(static_cast<std::size_t>(state.range(0)), 'p');
    for (auto step : state)
        benchmark::DoNotOptimize(fingerprintOf(service, payload));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(fingerprint)->Apply(sizes);

void crashVerdict(benchmark::State &state)
{
    CrashMemory memory;
    const TimePoint now(seconds(1000));
    const Policy policy;
    for (std::int64_t number = 1; number <= state.range(0); ++number)
        notePeerLoss(memory, Fingerprint(number), ServerId("server"), Duration{}, now);
    for (auto step : state)
        benchmark::DoNotOptimize(judgeFingerprint(memory, Fingerprint(7), now, policy));
}
BENCHMARK(crashVerdict)->RangeMultiplier(4)->Range(firstSize, lastSize);

void coordinators(benchmark::State &state)
{
    InstanceList list;
    for (int number = 0; number < state.range(0); ++number) {
        Instance instance;
        instance.id = InstanceId(numbered("entry-", number));
        instance.dataCentre = DataCentreId(numbered("dc-", number % 3));
        list.instances.push_back(instance);
    }
    const ServiceId service("service");
    for (auto step : state)
        benchmark::DoNotOptimize(coordinatorsFor(service, list, 4));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(coordinators)->Apply(sizes);

void codec(benchmark::State &state)
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
BENCHMARK(codec)->Apply(sizes);

} // namespace

BENCHMARK_MAIN();
