#pragma once

#include <oleander/bench/AdapterPath.h>
#include <oleander/bench/PathRate.h>

namespace oleander::bench {

/// One thread answers queries of as many shards as there are connections through QueryNode and
/// AsioServerNetwork: admission, plan, replica choice, waiting lines, HTTP, codec, sockets and
/// merge. `queries` of them are always under way. Counts sub-requests.
PathRate runCoordinatorPath(const AdapterPathShape &shape, int queries, Duration length);

} // namespace oleander::bench
