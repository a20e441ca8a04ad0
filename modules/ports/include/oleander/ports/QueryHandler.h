#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Query.h>

#include <functional>

namespace oleander {

/// Executes queries of callers. Used from one thread only.
class QueryHandler
{
public:
    virtual ~QueryHandler() = default;

    /// Starts a query. `done` is called exactly once unless the query is abandoned, possibly before
    /// submit() returns.
    virtual QueryTicket submit(Query query, std::function<void(Answer)> done) = 0;
    /// Cancels a query whose caller has disconnected; `done` is not called.
    virtual void abandon(QueryTicket ticket) = 0;
};

} // namespace oleander
