#include <oleander/decisions/request/Plan.h>

#include <xxhash.h>

#include <algorithm>

namespace oleander {

namespace {

bool overlaps(const Shard &shard, const std::string &firstKey, const std::string &endKey)
{
    const bool startsBeforeEnd = endKey.empty() || shard.firstKey < endKey;
    const bool endsAfterStart = shard.endKey.empty() || firstKey < shard.endKey;
    return startsBeforeEnd && endsAfterStart;
}

std::optional<std::vector<std::size_t>> namedShards(const Query &query, const PartitionMap &map,
                                                    Reason &reason)
{
    std::vector<std::size_t> indices;
    indices.reserve(query.shards.size());
    for (const ShardId &id : query.shards) {
        const auto found = std::ranges::find(map.shards, id, &Shard::id);
        if (found == map.shards.end()) {
            reason.set(ErrorKind::UnknownShard, "shard " + id.text() + " is not published");
            return std::nullopt;
        }
        indices.push_back(static_cast<std::size_t>(found - map.shards.begin()));
    }
    std::ranges::sort(indices);
    indices.erase(std::unique(indices.begin(), indices.end()), indices.end());
    return indices;
}

std::uint64_t hashOf(const std::string &first, const std::string &second)
{
    const std::uint64_t seed = XXH3_64bits(first.data(), first.size());
    return XXH3_64bits_withSeed(second.data(), second.size(), seed);
}

} // namespace

std::shared_ptr<const PartitionMap> partitionMapFor(const Query &query, const FleetView &view,
                                                    Reason &reason)
{
    std::shared_ptr<const PartitionMap> found;
    for (const auto &[service, map] : view.partitions) {
        if (map->backend != query.backend)
            continue;
        if (!query.service.isEmpty() && service != query.service)
            continue;
        if (found) {
            reason.set(ErrorKind::UnknownBackend,
                       "backend " + query.backend.text() + " has several services; name one");
            return nullptr;
        }
        found = map;
    }
    if (!found) {
        reason.set(ErrorKind::UnknownBackend, "backend " + query.backend.text() + " with service '"
                                                  + query.service.text() + "' is not published");
    }
    return found;
}

std::optional<QueryPlan> planQuery(const Query &query, std::shared_ptr<const PartitionMap> map,
                                   Reason &reason)
{
    QueryPlan plan;
    if (!query.shards.empty()) {
        auto indices = namedShards(query, *map, reason);
        if (!indices)
            return std::nullopt;
        plan.shards = std::move(*indices);
    } else {
        if (!query.endKey.empty() && query.endKey <= query.firstKey) {
            reason.set(ErrorKind::BadRequest, "the key range is empty");
            return std::nullopt;
        }
        for (std::size_t index = 0; index < map->shards.size(); ++index) {
            if (overlaps(map->shards[index], query.firstKey, query.endKey))
                plan.shards.push_back(index);
        }
    }
    plan.map = std::move(map);
    return plan;
}

Fingerprint fingerprintOf(const ServiceId &service, const std::string &payload)
{
    const std::uint64_t hash = hashOf(service.text(), payload);
    return Fingerprint(hash == 0 ? 1 : hash);
}

std::uint64_t routingKey(const Query &query, const ServiceId &service)
{
    if (query.isIdempotent)
        return fingerprintOf(service, query.payload).value();
    return hashOf(query.caller.text(), query.request.text());
}

} // namespace oleander
