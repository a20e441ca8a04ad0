#pragma once

#include <oleander/core/Query.h>
#include <oleander/core/SubRequest.h>

namespace oleander {

/// Server, latency and result of one sub-request, for metrics.
struct SubRequestRecord
{
    ServiceId service;
    ServerId server;
    Duration latency{};
    ReplyKind kind = ReplyKind::Ok;
    /// True for retries and hedges.
    bool isExtra = false;
};

/// Counts finished queries and sub-requests. It is called while a request is processed, so it must
/// not block and should avoid allocations.
class QueryObserver
{
public:
    virtual ~QueryObserver() = default;

    /// Called at the entry instance, once for each query received from a caller.
    virtual void onQueryFinished(const Query &query, const Answer &answer, Duration latency) = 0;
    /// Called at the coordinator, once for each sub-request that ended.
    virtual void onSubRequestFinished(const SubRequestRecord &record) = 0;
};

} // namespace oleander
