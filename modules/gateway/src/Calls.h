#pragma once

#include <oleander/gateway/Gateway.h>
#include <oleander/gateway/ServiceCall.h>

#include <vector>

namespace oleander::gateway {

/// What is remembered of a route over configurations.
struct Gateway::RouteState
{
    std::shared_ptr<LatencyWindow> latencies = std::make_shared<LatencyWindow>();
    /// Position in the cycle that spreads requests over weighted services.
    std::vector<double> weightCredits;
};

/// What calls of both kinds share: their deadline, the one answer, and what happens when the caller
/// leaves. A call keeps itself until it is answered, or until what it started has been stopped.
class CallBase : public Call, public std::enable_shared_from_this<CallBase>
{
public:
    CallBase(Gateway &gateway, std::shared_ptr<const CallerRequest> request, RouteTablePtr routes,
             const Route &route, AnswerCallback answer);
    ~CallBase() override;

    void start();
    void callerLeft() override;

protected:
    /// Sends to servers; ends with answer() sooner or later.
    virtual void begin() = 0;
    /// The deadline has come: answer with what there is.
    virtual void onDeadline() = 0;
    /// Answered, or the caller left: nothing more is to be sent.
    virtual void leaveServers() = 0;
    virtual void stopServers() = 0;
    /// A server still works on a request that nobody waits for.
    [[nodiscard]] virtual bool isServerBusy() const = 0;

    // Answering
    void answer(CallerAnswer answer);
    /// Refuses: the request has not been executed and never will be.
    void refuse(std::string_view cause);
    /// The same, after the event that is being handled; the cause must be a literal.
    void refuseLater(std::string_view cause);
    /// Ends without a result, though a server may have executed the request.
    void fail(int status, std::string_view cause);
    [[nodiscard]] bool isAnswered() const { return !m_answer; }

    [[nodiscard]] ServiceCallPlan planFor(const ServiceId &service, TimePoint lastRetry) const;
    /// When an answer must leave to reach the caller within the route's objective.
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
    void endCall();
    void stopServersAfter(Duration delay);

    AnswerCallback m_answer;
    Subscription m_deadlineTimer;
    Subscription m_stopTimer;
    std::shared_ptr<CallBase> m_self;
};

/// A request that one server answers.
class ForwardCall final : public CallBase
{
public:
    using CallBase::CallBase;

protected:
    void begin() override;
    void onDeadline() override;
    void leaveServers() override;
    void stopServers() override;
    [[nodiscard]] bool isServerBusy() const override;

private:
    [[nodiscard]] const ServiceId &chooseService();
    void onOutcome(ServiceOutcome outcome);

    std::shared_ptr<ServiceCall> m_call;
};

/// A request that is answered from the records of many shards.
class GatherCall final : public CallBase
{
public:
    using CallBase::CallBase;

protected:
    void begin() override;
    void onDeadline() override;
    void leaveServers() override;
    void stopServers() override;
    [[nodiscard]] bool isServerBusy() const override;

private:
    void askShard(std::size_t shard);
    void onOutcome(std::size_t shard, ServiceOutcome outcome);
    /// From now on the parts that are in make an answer, when they are enough.
    void onObjectiveClose();
    /// Answers, fails, or waits on.
    void decide();
    void answerWithParts();
    void giveUp();
    [[nodiscard]] ExecutionState ranState() const;

    /// One for each shard of the route.
    std::vector<std::shared_ptr<ServiceCall>> m_calls;
    std::vector<ServerReply> m_parts;
    std::size_t m_openShards = 0;
    bool m_isObjectiveClose = false;
    bool m_anyRan = false;
    Subscription m_objectiveTimer;
};

} // namespace oleander::gateway
