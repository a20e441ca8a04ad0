#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Query.h>

#include <functional>

namespace oleander {

/// Takes queries from callers, on one thread.
class QueryHandler
{
public:
    virtual ~QueryHandler() = default;

    /// `done` is called exactly once unless the query is abandoned, possibly before the return.
    virtual QueryTicket submit(Query query, std::function<void(Answer)> done) = 0;
    /// The caller went away; `done` is not called any more.
    virtual void abandon(QueryTicket ticket) = 0;
};

} // namespace oleander
