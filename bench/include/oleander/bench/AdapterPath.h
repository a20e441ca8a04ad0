#pragma once

#include <oleander/bench/BarePath.h>
#include <oleander/core/SubRequest.h>
#include <oleander/standins/ServerShape.h>

namespace oleander::bench {

struct AdapterPathShape
{
    int connections = 64;
    int serverThreads = 3;
    std::size_t payloadBytes = 100;
    int documents = 3;
    std::size_t documentBytes = 64;
};

/// The sizes on the wire of one exchange of this shape, for the bare form.
BarePathSizes sizesOf(const AdapterPathShape &shape);

/// One thread exchanges sub-requests and replies with stand-in servers through AsioServerNetwork:
/// HTTP, codec and sockets, one at a time on each connection.
PathRate runAdapterPath(const AdapterPathShape &shape, Duration length);

} // namespace oleander::bench
