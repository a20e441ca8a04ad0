#pragma once

#include <oleander/bench/PathRate.h>

#include <cstddef>

namespace oleander::bench {

struct BarePathSizes
{
    std::size_t requestBytes = 0;
    std::size_t replyBytes = 0;
    int connections = 64;
    /// Threads of the answering side, so that it does not set the pace.
    int serverThreads = 3;
};

/// The baseline: one thread exchanges requests and replies of fixed sizes over plain Asio sockets
/// on loopback, one at a time on each connection, with neither HTTP nor a codec.
PathRate runBarePath(const BarePathSizes &sizes, Duration length);

} // namespace oleander::bench
