#pragma once

#include <oleander/core/ErrorKind.h>
#include <oleander/decisions/control/Backoff.h>
#include <oleander/gateway/ServerFleet.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace oleander::gateway {

/// What a call to one service needs to know.
struct ServiceCallPlan
{
    std::shared_ptr<const CallerRequest> request;
    ServicePool *pool = nullptr;
    Repeatability repeatability = Repeatability::AtMostOnce;
    int priority = 0;
    int maximumAttempts = 1;
    /// Servers give up then, and nothing is sent any more.
    TimePoint deadline{};
    /// A reply after this is of less use to the caller.
    TimePoint answerBy{};
    /// When no server can take the request, it is tried again until then.
    TimePoint lastRetry{};
    BackoffRules retryWaits;
    /// Wait before a request that has no reply is sent to a second server.
    Duration hedgeDelay{};
    /// Latency that is usual, and where new ones are counted.
    Duration usualLatency{};
    std::shared_ptr<LatencyWindow> latencies;
};

/// How a call to a service ended.
struct ServiceOutcome
{
    /// The reply to hand on; a server's failure when nothing better came.
    std::optional<ServerReply> reply;
    /// Without a reply: whether a server may have executed the request.
    ExecutionState ran = ExecutionState::NotRun;
};

/// Brings one request to one server of a service, and to further ones where that is allowed:
/// after a proof that it was not executed, after a failure of an idempotent request, and when an
/// idempotent request takes unusually long. Further sendings are paid from the service's budget;
/// when there is none left, or no server, the call waits and tries again.
///
/// No more servers than `maximumAttempts` may execute the request.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using Callback = std::function<void(ServiceOutcome)>;

    ServiceCall(ServerFleet &fleet, TimerService &timer, ServiceCallPlan plan);
    ServiceCall(const ServiceCall &) = delete;
    ServiceCall &operator=(const ServiceCall &) = delete;
    ~ServiceCall();

    /// Begins. `done` is called once, never from inside start(), unless the call is left first.
    void start(Callback done);
    /// Nobody wants the outcome: nothing more is sent; what runs goes on to its end.
    void leave();
    /// Stops what runs, by closing its connections. After leave().
    void stopRunning();

    /// A sending is at a server and has not ended.
    [[nodiscard]] bool isRunning() const;
    /// What is known of the execution by now.
    [[nodiscard]] ExecutionState ranState() const;
    [[nodiscard]] int attempts() const { return m_sentCount; }

private:
    bool sendNext(bool isAnyAgain);
    /// Whether the server would answer in time. One that would not is only kept from other work.
    [[nodiscard]] bool isWorthHedging(const BackendServer &server) const;
    void sendTo(BackendServer &server);
    void hedge();
    void armHedge();
    void onEnded(const Attempt &attempt, BackendServer &server, AttemptResult result);
    void onReplied(AttemptResult result);
    void retryOrFinish();
    void retryLater();
    [[nodiscard]] bool mayStillSend() const;
    /// Servers that are not to get the request: those that have it, and, when as many as may have
    /// possibly executed it, all others but these.
    [[nodiscard]] std::vector<BackendServer *> excludedServers(bool isAnyAgain) const;
    void finish();
    void finishWith(ServiceOutcome outcome);

    ServerFleet &m_fleet;
    TimerService &m_timer;
    ServiceCallPlan m_plan;
    Callback m_done;
    std::vector<AttemptPtr> m_running;
    std::vector<BackendServer *> m_tried;
    /// Servers that may have executed the request.
    std::vector<BackendServer *> m_executors;
    int m_retries = 0;
    std::optional<ServerReply> m_failure;
    int m_sentCount = 0;
    bool m_wasSent = false;
    bool m_maybeRan = false;
    Subscription m_hedge;
    Subscription m_retry;
};

} // namespace oleander::gateway
