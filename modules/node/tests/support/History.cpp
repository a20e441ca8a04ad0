#include "History.h"

#include <cstdio>

namespace oleander::fakes {

void History::addTraceLine(const std::string &text)
{
    if (!isTracing)
        return;
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", inMilliseconds(clock.now() - start));
    trace.push_back(time + text);
}

void History::recordStage(QueryStage stage, const CallerId &caller, const RequestId &request)
{
    const bool isFirst = !caller.isEmpty() && reachedStages.emplace(request, stage).second;
    if (isFirst && onStage)
        onStage(stage, request);
}

void History::recordReply(const CallerId &caller, const RequestId &request, const ShardId &shard)
{
    auto &shards = repliedShards[request];
    shards.insert(shard);
    recordStage(QueryStage::PartAnswered, caller, request);
    if (shards.size() >= shardsAsked)
        recordStage(QueryStage::Answered, caller, request);
}

} // namespace oleander::fakes
