#include "History.h"

#include <cstdio>

namespace oleander::fakes {

void History::note(const std::string &text)
{
    if (!isTracing)
        return;
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", inMilliseconds(clock.now() - start));
    trace.push_back(time + text);
}

void History::reach(Step step, const CallerId &caller, const RequestId &request)
{
    const bool isFirst = !caller.isEmpty() && reached.emplace(request, step).second;
    if (isFirst && onStep)
        onStep(step, request);
}

void History::reachReply(const CallerId &caller, const RequestId &request, const ShardId &shard)
{
    auto &shards = repliedShards[request];
    shards.insert(shard);
    reach(Step::PartAnswered, caller, request);
    if (shards.size() >= shardsAsked)
        reach(Step::Answered, caller, request);
}

} // namespace oleander::fakes
