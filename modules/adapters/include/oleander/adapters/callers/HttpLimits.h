#pragma once

#include <oleander/core/Units.h>

#include <cstddef>

namespace oleander {

/// What one HTTP server grants to the other side, so that a stranger can hold neither much memory
/// nor a connection for long. All limits are for one server object, that is, one worker thread.
struct HttpLimits
{
    std::size_t maximumConnections = 1024;
    /// Whether a connection beyond that closes the one that has waited longest for a request or the
    /// rest of one, instead of being refused.
    bool isLongestWaitingClosed = false;
    /// Receive buffer of the system for each connection; 0 for the system's default.
    std::size_t receiveBufferBytes = 0;
    std::size_t maximumHeadBytes = 8192;
    std::size_t maximumBodyBytes = 262144;
    /// Bytes of bodies that may be held over all connections.
    std::size_t maximumBodyBytesInAll = 33554432;
    /// From the first byte of a request to its last.
    Duration requestTimeout = seconds(10);
    /// For the other side to take a response.
    Duration responseTimeout = seconds(10);
    /// Without a request, after which a kept connection is closed.
    Duration idleTimeout = seconds(75);
    /// During a planned stop, how long a connection without a request stays open, so that a request
    /// that is already on its way is still answered.
    Duration stopGrace = milliseconds(500);
};

/// What one HTTP server has seen since it began.
struct HttpStatistics
{
    std::size_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t protocolErrors = 0;
    std::uint64_t refusedConnections = 0;
    /// Connections closed to make room for others.
    std::uint64_t evictedConnections = 0;
};

} // namespace oleander
