#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>
#include <oleander/decisions/request/LatencyWindow.h>
#include <oleander/gateway/CrashGuard.h>
#include <oleander/gateway/HttpMessage.h>
#include <oleander/gateway/Route.h>

#include <functional>
#include <memory>

namespace oleander::gateway {

class BackendServer;

/// Outcome of sending a request to one server.
enum class AttemptOutcome {
    /// A reply arrived, with any status.
    Replied,
    /// No byte of the request left this instance.
    NotSent,
    /// The server confirmed that it did not execute the request.
    NotExecuted,
    /// The request was sent but no usable reply arrived; the server may have executed it.
    Lost,
};

struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::NotSent;
    ServerReply reply;
};

/// One attempt to send a request to one server. Shared by the call that needs the result and the
/// connection that carries the attempt.
struct Attempt
{
    std::shared_ptr<const CallerRequest> request;
    Idempotency idempotency = Idempotency::NonIdempotent;
    int priority = 0;
    /// Evidence of whether the request crashes servers.
    std::shared_ptr<CrashTrial> trial;
    /// Deadline of the server's reply; nothing is sent after it.
    TimePoint deadline{};
    /// Typical latency of requests of this kind.
    Duration usualLatency{};
    /// Records the latency of every reply, even if the caller no longer needs the result.
    std::shared_ptr<LatencyWindow> latencies;
    /// Records the latency of replies to requests that found a free slot, so without waiting.
    std::shared_ptr<LatencyWindow> executions;
    /// Called once with the result, and never synchronously from submit(). Cleared when the result
    /// is no longer needed.
    std::function<void(AttemptResult)> onFinished;

    /// The server that holds the attempt, null once the attempt has finished.
    BackendServer *server = nullptr;
    bool isSent = false;
    /// Whether the server was expected to have a free slot for it.
    bool hasFoundSlot = false;
    TimePoint sentAt{};

    [[nodiscard]] bool isWanted() const { return static_cast<bool>(onFinished); }
};

using AttemptPtr = std::shared_ptr<Attempt>;

} // namespace oleander::gateway
