#include <oleander/decisions/control/CoordinatorChoice.h>
#include <oleander/decisions/request/Admission.h>
#include <oleander/decisions/request/CrashMemory.h>
#include <oleander/decisions/request/DispatchOrder.h>
#include <oleander/decisions/request/ExtraLoad.h>
#include <oleander/decisions/request/GatherAdmission.h>
#include <oleander/decisions/request/LatencyWindow.h>
#include <oleander/decisions/request/Merge.h>
#include <oleander/decisions/request/Plan.h>
#include <oleander/decisions/request/ReplicaChoice.h>
#include <oleander/decisions/request/RequestMemory.h>

#include <benchmark/benchmark.h>

using namespace oleander;

namespace {

constexpr int documentsPerShard = 3;

std::shared_ptr<PartitionMap> mapOf(std::int64_t shards)
{
    auto map = std::make_shared<PartitionMap>();
    map->backend = BackendId("backend");
    map->service = ServiceId("service");
    for (std::int64_t number = 0; number < shards; ++number) {
        const std::string key = std::to_string(100000 + number);
        const std::string endKey = std::to_string(100001 + number);
        map->shards.push_back({ShardId("shard-" + key),
                               number == 0 ? "" : key,
                               number + 1 == shards ? "" : endKey,
                               {ServerId("server")}});
    }
    return map;
}

std::vector<Document> documentsOf(std::int64_t shard)
{
    std::vector<Document> documents;
    for (int number = 0; number < documentsPerShard; ++number) {
        const auto id = std::to_string(shard) + "-" + std::to_string(number);
        documents.push_back({DocumentId(id), 1.0 / (number + 1), std::string(64, 'x')});
    }
    return documents;
}

void plan(benchmark::State &state)
{
    const auto map = mapOf(state.range(0));
    Query query;
    Reason reason;
    for (auto _ : state)
        benchmark::DoNotOptimize(planQuery(query, map, reason));
    state.SetComplexityN(state.range(0));
}

void merge(benchmark::State &state)
{
    QueryPlan whole;
    Reason reason;
    whole = *planQuery(Query{}, mapOf(state.range(0)), reason);
    for (auto _ : state) {
        MergeState parts = startMerge(whole);
        for (std::int64_t shard = 0; shard < state.range(0); ++shard)
            addPart(parts, static_cast<std::size_t>(shard), documentsOf(shard));
        benchmark::DoNotOptimize(coverageOf(whole, parts));
        benchmark::DoNotOptimize(mergedDocuments(std::move(parts), 0));
    }
    state.SetComplexityN(state.range(0));
}

void chooseReplicas(benchmark::State &state)
{
    const std::vector<ReplicaCandidate> candidates{{0, 1, 3, 5000, 2}, {1, 1, 3, 5100, 7}};
    for (auto _ : state) {
        for (std::int64_t shard = 0; shard < state.range(0); ++shard)
            benchmark::DoNotOptimize(chooseReplica(candidates, static_cast<std::uint64_t>(shard)));
    }
    state.SetComplexityN(state.range(0));
}

void learnLatency(benchmark::State &state)
{
    LatencyWindow window;
    for (auto _ : state) {
        for (std::int64_t shard = 0; shard < state.range(0); ++shard)
            window.add(Duration(4000 + shard));
        benchmark::DoNotOptimize(window.quantile(PerMille{950}, milliseconds(10)));
    }
    state.SetComplexityN(state.range(0));
}

void admit(benchmark::State &state)
{
    AdmissionFacts facts;
    facts.timeLeft = milliseconds(100);
    facts.usualLatency = milliseconds(5);
    const Policy policy;
    Reason reason;
    for (auto _ : state)
        benchmark::DoNotOptimize(admitQuery(facts, Urgency::Normal, policy, reason));
}

void judgeCrash(benchmark::State &state)
{
    CrashMemory memory;
    const Policy policy;
    const TimePoint now{seconds(1)};
    for (std::uint64_t value = 1; value <= 10000; ++value)
        noteHarmless(memory, Fingerprint(value), now, crashRulesOf(policy));
    std::uint64_t value = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(
            decideDispatch(memory, Fingerprint(++value % 20000 + 1), now, crashRulesOf(policy)));
}

void judgeOnce(benchmark::State &state)
{
    RequestMemory memory;
    const Policy policy;
    const WallTime wall{seconds(1'000'000)};
    Query query;
    query.caller = CallerId("caller");
    query.isIdempotent = false;
    query.issuedAt = wall;
    std::uint64_t number = 0;
    Reason reason;
    for (auto _ : state) {
        query.request = RequestId(std::to_string(++number));
        benchmark::DoNotOptimize(
            decideAtMostOnce(memory, query, TimePoint{seconds(1)}, wall, policy, reason));
    }
}

/// The decision on a gathered request, given the expected waits of its services.
void admitGathered(benchmark::State &state)
{
    std::vector<Duration> waits(static_cast<std::size_t>(state.range(0)));
    const GatherAdmissionFacts plain{.objectiveLeft = milliseconds(180),
                                     .deadlineLeft = milliseconds(2500),
                                     .usualExecution = milliseconds(20),
                                     .isBelowHigher = true};
    for (auto _ : state) {
        for (std::size_t index = 0; index < waits.size(); ++index)
            waits[index] = microseconds(static_cast<std::int64_t>(index * 7919 % 100'000));
        GatherAdmissionFacts facts = plain;
        facts.expectedWait = requiredWait(waits, waits.size() / 20);
        benchmark::DoNotOptimize(admitGather(facts));
    }
    state.SetComplexityN(state.range(0));
}

/// Whether one server has room for a request of a lower priority.
void findRoom(benchmark::State &state)
{
    ServerRoom room{.slots = 2, .reported = 2, .reportAge = milliseconds(12), .ownInFlight = 1};
    for (auto _ : state) {
        benchmark::DoNotOptimize(room);
        const int limit = fillLimit(room, milliseconds(14), milliseconds(20));
        benchmark::DoNotOptimize(hasRoomBelow(room, limit, milliseconds(20)));
    }
}

void chooseCoordinators(benchmark::State &state)
{
    InstanceList list;
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        list.instances.push_back({InstanceId("entry-" + std::to_string(number)),
                                  DataCentreId("dc-" + std::to_string(number % 7)), "", "", false});
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(coordinatorsFor(ServiceId("service"), list, 4));
    state.SetComplexityN(state.range(0));
}

BENCHMARK(plan)->RangeMultiplier(2)->Range(16, 256)->Complexity();
BENCHMARK(merge)->RangeMultiplier(2)->Range(16, 256)->Complexity();
BENCHMARK(chooseReplicas)->RangeMultiplier(2)->Range(16, 256)->Complexity();
BENCHMARK(learnLatency)->RangeMultiplier(2)->Range(16, 256)->Complexity();
BENCHMARK(admit);
BENCHMARK(admitGathered)->RangeMultiplier(2)->Range(16, 256)->Complexity();
BENCHMARK(findRoom);
BENCHMARK(judgeCrash);
BENCHMARK(judgeOnce);
BENCHMARK(chooseCoordinators)->Arg(20)->Arg(120)->Arg(480)->Arg(950)->Complexity();

} // namespace

BENCHMARK_MAIN();
