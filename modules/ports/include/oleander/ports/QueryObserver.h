#pragma once

#include <oleander/core/Query.h>
#include <oleander/core/SubRequest.h>

namespace oleander {

/// What one sub-request cost, for metrics.
struct SubRequestRecord
{
    ServiceId service;
    ServerId server;
    Duration latency{};
    ReplyKind kind = ReplyKind::Ok;
    bool isExtra = false;
};

/// Where finished queries and sub-requests are counted. Called on the path of a request, so it must
/// neither block nor allocate much.
class QueryObserver
{
public:
    virtual ~QueryObserver() = default;

    /// At the entry, once for each query taken from a caller.
    virtual void onQueryFinished(const Query &query, const Answer &answer, Duration latency) = 0;
    /// At the coordinator, once for each sub-request that ended.
    virtual void onSubRequestFinished(const SubRequestRecord &record) = 0;
};

} // namespace oleander
