#pragma once

#include <oleander/core/ErrorKind.h>
#include <oleander/decisions/control/Backoff.h>
#include <oleander/gateway/ServerFleet.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace oleander::gateway {

/// Parameters of a call to one service.
struct ServiceCallPlan
{
    std::shared_ptr<const CallerRequest> request;
    /// Evidence of whether the request crashes servers, shared by all calls of the request.
    std::shared_ptr<CrashTrial> trial;
    ServicePool *pool = nullptr;
    Idempotency idempotency = Idempotency::NonIdempotent;
    int priority = 0;
    int maximumAttempts = 1;
    /// Regions whose servers may get the request; all if empty.
    std::vector<std::string> homeRegions{};
    /// True when another instance may have sent the request already, so that the first attempt is
    /// an extra one too.
    bool isRerun = false;
    /// Deadline of the servers; no attempts are sent after it.
    TimePoint deadline{};
    /// Replies after this time miss the route's objective.
    TimePoint answerBy{};
    /// Until this time the call is retried when no server can accept it.
    TimePoint retryUntil{};
    BackoffRules retryDelays;
    /// Delay before a request without a reply is sent to a second server.
    Duration hedgeDelay{};
    /// Typical latency, and the window that records new latencies.
    Duration usualLatency{};
    std::shared_ptr<LatencyWindow> latencies;
    /// Time that the route's objective permits for the whole request.
    Duration objective{};
    /// Typical latency at a server that has a free slot, and the window that records it.
    Duration usualExecution{};
    std::shared_ptr<LatencyWindow> executions;
};

/// Result of a call to a service.
struct ServiceOutcome
{
    /// The reply to forward; a server's error reply if there was no better one.
    std::optional<ServerReply> reply;
    /// Without a reply: whether a server may have executed the request.
    ExecutionState ran = ExecutionState::NotRun;
    /// When nothing was executed: time until a server accepts the request, if servers said so.
    Duration retryAfter{};
};

/// Sends one request to a server of a service, and to further servers where permitted: after a
/// server confirmed that it did not execute the request, after an idempotent request failed, or
/// when an idempotent request is unusually slow. Extra attempts are taken from the service's
/// budget; when the budget is exhausted or no server is available, the call waits and tries again.
/// While requests of a higher priority are in use, the request waits until a server has room.
///
/// At most `maximumAttempts` servers may execute the request.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using Callback = std::function<void(ServiceOutcome)>;

    ServiceCall(ServerFleet &fleet, TimerService &timer, ServiceCallPlan plan);
    ServiceCall(const ServiceCall &) = delete;
    ServiceCall &operator=(const ServiceCall &) = delete;
    ~ServiceCall();

    /// Starts the call. `done` is called once, never synchronously from start(), and not at all if
    /// the call is abandoned first.
    void start(Callback done);
    /// Called when the outcome is not needed. Nothing more is sent, but running attempts continue.
    void abandon();
    /// Cancels running attempts by closing their connections. Called after abandon().
    void cancelRunning();

    /// True when an attempt has been sent and has not finished.
    [[nodiscard]] bool isRunning() const;
    /// What is known so far about the execution.
    [[nodiscard]] ExecutionState ranState() const;
    [[nodiscard]] int attempts() const { return m_sentCount; }

private:
    /// Sends the request, or lets it wait for room. Returns false if it can be sent nowhere now.
    bool sendNext(bool mayReuseTried);
    /// Sends the request that waited for room. Returns false if it is to wait on.
    bool sendWaiting(bool mayReuseTried, bool isRegardlessOfRoom);
    /// Sends to the server unless that takes an extra attempt that the budget does not permit.
    bool sendWithinBudget(BackendServer &server);
    [[nodiscard]] WaitingWork waitingWork() const;
    /// Chooses a server as chooseServer() does, but leaves out those that would miss the objective
    /// while another one could meet it and, if higher priorities are in use, those without room.
    BackendServer *chooseServerInTime(bool mayReuseTried,
                                      std::optional<Duration> toleratedByHigher);
    [[nodiscard]] bool hasRoom(const BackendServer &server, Duration toleratedByHigher) const;
    [[nodiscard]] Duration expectedLatency(const BackendServer &server) const;
    /// Returns true if the server is expected to answer in time. A hedge that would be late only
    /// occupies the server.
    [[nodiscard]] bool isWorthHedging(const BackendServer &server) const;
    BackendServer *chooseServer(bool mayReuseTried, bool isAlone);
    void sendTo(BackendServer &server);
    void hedge();
    void scheduleHedge();
    void onAttemptFinished(const Attempt &attempt, BackendServer &server, AttemptResult result);
    void onReplied(AttemptResult result);
    void retryOrFinish();
    void retryLater();
    /// Sends again as soon as it is known whether the request crashes servers.
    void awaitVerdict();
    [[nodiscard]] bool maySend() const;
    [[nodiscard]] bool hasUsableServer() const;
    /// Servers that must not get the request: those outside its home regions, those that have it
    /// now, and once `maximumAttempts`
    /// servers may have executed it, all servers except those.
    [[nodiscard]] std::vector<BackendServer *> excludedServers(bool mayReuseTried) const;
    void finish();
    void finishWith(ServiceOutcome outcome);

    ServerFleet &m_fleet;
    TimerService &m_timer;
    ServiceCallPlan m_plan;
    Callback m_done;
    std::vector<AttemptPtr> m_running;
    std::vector<BackendServer *> m_triedServers;
    /// Servers that may have executed the request.
    std::vector<BackendServer *> m_possibleExecutors;
    TimePoint m_arrived{};
    int m_retries = 0;
    bool m_isAwaitingVerdict = false;
    std::optional<ServerReply> m_failureReply;
    int m_sentCount = 0;
    bool m_wasSent = false;
    bool m_maybeRan = false;
    DispatchTicket m_ticket;
    Subscription m_hedgeTimer;
    Subscription m_retryTimer;
};

} // namespace oleander::gateway
