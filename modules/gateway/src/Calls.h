#pragma once

#include <oleander/gateway/Gateway.h>
#include <oleander/gateway/ServiceCall.h>

#include <vector>

namespace oleander::gateway {

/// State of a route that is kept across configurations.
struct Gateway::RouteState
{
    std::shared_ptr<LatencyWindow> latencies = std::make_shared<LatencyWindow>();
    /// Credits of the weighted round robin over the route's services.
    std::vector<double> weightCredits;
};

/// Common base of both kinds of calls: manages the deadline, the single answer and the
/// disconnection of the caller. A call keeps itself alive until it is answered or its requests are
/// cancelled.
class CallBase : public Call, public std::enable_shared_from_this<CallBase>
{
public:
    CallBase(Gateway &gateway, std::shared_ptr<const CallerRequest> request, RouteTablePtr routes,
             const Route &route, AnswerCallback answer);
    ~CallBase() override;

    void start();
    void onCallerDisconnected() override;

protected:
    /// Sends the request to servers. Must eventually lead to answer().
    virtual void begin() = 0;
    /// Called at the deadline; answers with the replies received so far.
    virtual void onDeadline() = 0;
    /// Called when the call is answered or the caller disconnected; nothing more may be sent.
    virtual void abandonServerCalls() = 0;
    virtual void cancelServerCalls() = 0;
    /// Returns true if a server is still processing an attempt of this call.
    [[nodiscard]] virtual bool isServerBusy() const = 0;

    // Answering
    void answer(CallerAnswer answer);
    /// Refuses the request, which has not been executed and will not be.
    void refuse(std::string_view cause);
    /// Refuses after the current event has been handled. `cause` must be a string literal.
    void refuseLater(std::string_view cause);
    /// Ends the call without a result, although a server may have executed the request.
    void fail(int status, std::string_view cause);
    [[nodiscard]] bool isAnswered() const { return !m_answer; }

    [[nodiscard]] ServiceCallPlan planFor(const ServiceId &service, TimePoint retryUntil) const;
    /// Latest time to send an answer that meets the route's objective.
    [[nodiscard]] TimePoint answerBy() const;
    void record(EventId event, EventLog::Fields fields) const;
    [[nodiscard]] Duration age() const;

    Gateway &m_gateway;
    std::shared_ptr<const CallerRequest> m_request;
    RouteTablePtr m_routes;
    const Route &m_route;
    std::shared_ptr<LatencyWindow> m_latencies;
    TimePoint m_deadline;

private:
    void release();
    void cancelServerCallsAfter(Duration delay);

    AnswerCallback m_answer;
    Subscription m_deadlineTimer;
    Subscription m_cancelTimer;
    std::shared_ptr<CallBase> m_selfReference;
};

/// A request that is answered by one server.
class ForwardCall final : public CallBase
{
public:
    using CallBase::CallBase;

protected:
    void begin() override;
    void onDeadline() override;
    void abandonServerCalls() override;
    void cancelServerCalls() override;
    [[nodiscard]] bool isServerBusy() const override;

private:
    [[nodiscard]] const ServiceId &chooseService();
    void onOutcome(ServiceOutcome outcome);

    std::shared_ptr<ServiceCall> m_call;
};

/// A request that is answered from the records of several shards.
class GatherCall final : public CallBase
{
public:
    using CallBase::CallBase;

protected:
    void begin() override;
    void onDeadline() override;
    void abandonServerCalls() override;
    void cancelServerCalls() override;
    [[nodiscard]] bool isServerBusy() const override;

private:
    void askShard(std::size_t shard);
    void onOutcome(std::size_t shard, ServiceOutcome outcome);
    /// Called at answerBy(); from then on a partial answer is permitted.
    void onObjectiveTimer();
    /// Answers or fails the call if its result is known, otherwise keeps waiting.
    void checkCompletion();
    void answerWithParts();
    void failIncomplete();
    [[nodiscard]] ExecutionState ranState() const;

    /// One call for each shard of the route.
    std::vector<std::shared_ptr<ServiceCall>> m_calls;
    std::vector<ServerReply> m_parts;
    std::size_t m_pendingShards = 0;
    bool m_isPartialAllowed = false;
    bool m_anyRan = false;
    Subscription m_objectiveTimer;
};

} // namespace oleander::gateway
