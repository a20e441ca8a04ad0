#pragma once

#include <string>

namespace oleander {

/// Names of the header fields that callers, gateway and servers exchange beside HTTP's own.
struct HeaderNames
{
    /// The caller's name for one request; servers echo it.
    std::string requestId;
    /// Milliseconds that the sender waits for the answer.
    std::string callerTimeout;
    /// The server that is meant; any other one refuses.
    std::string expectedServer;
    /// A server's proof of having answered.
    std::string receipt;
    /// Present when a server has not executed a request.
    std::string notExecuted;
    /// A server's load: running, waiting, slots, and optionally the pace.
    std::string reportedLoad;
    /// Present when a server is leaving.
    std::string leaving;
    /// Requests per second that a server accepts from all instances together.
    std::string rateLimit;
    /// Milliseconds for which a server is still cold.
    std::string warmUpLeft;
    /// The server that replies, at its health path.
    std::string serverId;
};

} // namespace oleander
