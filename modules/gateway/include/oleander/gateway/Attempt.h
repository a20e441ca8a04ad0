#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>
#include <oleander/decisions/request/LatencyWindow.h>
#include <oleander/gateway/HttpMessage.h>
#include <oleander/gateway/Route.h>

#include <functional>
#include <memory>

namespace oleander::gateway {

class BackendServer;

/// How a sending of a request to one server ended.
enum class AttemptEnd {
    /// A reply came, of any status.
    Replied,
    /// No byte of the request left this instance.
    NotSent,
    /// The server proved that it did not execute the request.
    NotExecuted,
    /// It was sent and no usable reply came: the server may have executed it.
    Lost,
};

struct AttemptResult
{
    AttemptEnd end = AttemptEnd::NotSent;
    ServerReply reply;
};

/// One sending of a request to one server. Shared by the call that wants the result and the
/// connection that carries it.
struct Attempt
{
    std::shared_ptr<const CallerRequest> request;
    Repeatability repeatability = Repeatability::AtMostOnce;
    int priority = 0;
    /// The server gives up then, and nothing is sent any more.
    TimePoint deadline{};
    /// Latency that is usual for such a request.
    Duration usualLatency{};
    /// Counts the latency of replies to such requests, wanted or not.
    std::shared_ptr<LatencyWindow> latencies;
    /// Called once, with the end; never from inside the call that handed the attempt in. Emptied by
    /// whoever no longer wants the result.
    std::function<void(AttemptResult)> whenEnded;

    /// The server that has it, until it has ended.
    BackendServer *server = nullptr;
    bool isSent = false;
    TimePoint sentAt{};

    [[nodiscard]] bool isWanted() const { return static_cast<bool>(whenEnded); }
};

using AttemptPtr = std::shared_ptr<Attempt>;

} // namespace oleander::gateway
