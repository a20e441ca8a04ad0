#pragma once

#include "CoordinatorCall.h"

#include <oleander/gateway/Gateway.h>
#include <oleander/gateway/GatherDelegation.h>
#include <oleander/gateway/ServiceCall.h>

#include <vector>

namespace oleander::gateway {

/// State of a route that is kept across configurations.
struct Gateway::RouteState
{
    std::shared_ptr<LatencyWindow> latencies = std::make_shared<LatencyWindow>();
    /// Latencies of requests that found a free slot.
    std::shared_ptr<LatencyWindow> executions = std::make_shared<LatencyWindow>();
    /// Credits of the weighted round robin over the route's services.
    std::vector<double> weightCredits;
};

/// Tells a refused caller when to come back.
[[nodiscard]] HttpField retryAfterField(Duration duration);

/// The terms on which a request is executed.
struct CallTerms
{
    /// Keeps alive what holds the route.
    std::shared_ptr<const Route> route;
    /// Version of the configuration in force, for logs.
    SectionVersion configuration;
    /// Time by which the caller must have been answered.
    TimePoint deadline{};
    /// Latest time to answer so that the route's objective is met.
    TimePoint answerBy{};
    /// True when another instance may have begun to execute the request. Every attempt is then an
    /// extra one, and each service gets one attempt at most.
    bool isRerun = false;
    /// The shards to be asked, if another instance merges their parts with others; else empty.
    /// Such a request is answered with whatever parts are in at the end.
    std::vector<std::size_t> shards;
    /// Parts of these shards that an answer needs while others are still awaited.
    std::size_t minimumParts = 0;

    [[nodiscard]] bool isForSomeShards() const { return !shards.empty(); }
};

/// The terms of a request that a caller sent to this instance.
[[nodiscard]] CallTerms callTerms(const CallerRequest &request, const RouteTablePtr &routes,
                                  const Route &route, const GatewayPolicy &policy,
                                  Duration wakeUpLateness);

/// Common base of all calls: manages the deadline, the single answer and the
/// disconnection of the caller. A call keeps itself alive until it is answered or its requests are
/// cancelled.
class CallBase : public Call, public std::enable_shared_from_this<CallBase>
{
public:
    CallBase(Gateway &gateway, std::shared_ptr<const CallerRequest> request, CallTerms terms,
             AnswerCallback answer);
    ~CallBase() override;

    void start();
    /// Answers with what is there, unless the call has been answered.
    void endAtDeadline();
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
    /// `retryAfter` is when the caller may come back, if that is later than usual.
    void refuse(std::string_view cause, Duration retryAfter = {});
    /// Refuses the request if load would make it miss its objective, and returns true then. Of the
    /// services, `missable` need not answer.
    bool refuseIfOverloaded(const std::vector<const ServiceId *> &services, std::size_t missable);
    /// Refuses after the current event has been handled. `cause` must be a string literal.
    void refuseLater(std::string_view cause, Duration retryAfter = {});
    /// Returns true if servers were lost while they executed the request, and refuses it then.
    bool refuseIfCrashing();
    /// Ends the call without a result, although a server may have executed the request.
    void fail(int status, std::string_view cause);
    [[nodiscard]] bool isAnswered() const { return !m_answer; }

    [[nodiscard]] ServiceCallPlan planFor(const ServiceId &service, TimePoint retryUntil) const;
    [[nodiscard]] TimePoint answerBy() const { return m_terms.answerBy; }
    [[nodiscard]] const CallTerms &terms() const { return m_terms; }
    void record(EventId event, EventLog::Fields fields) const;
    [[nodiscard]] Duration age() const;

    Gateway &m_gateway;
    std::shared_ptr<const CallerRequest> m_request;

private:
    CallTerms m_terms;

protected:
    const Route &m_route;
    std::shared_ptr<CrashTrial> m_trial;
    std::shared_ptr<LatencyWindow> m_latencies;
    std::shared_ptr<LatencyWindow> m_executions;
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
///
/// A coordinator asks the shards that have a sound server in its own data centre itself. The others
/// are asked by coordinators beside their servers, which return merged parts, so that few bytes
/// cross between data centres.
class GatherCall final : public CallBase
{
public:
    GatherCall(Gateway &gateway, std::shared_ptr<const CallerRequest> request, CallTerms terms,
               AnswerCallback answer);

protected:
    void begin() override;
    void onDeadline() override;
    void abandonServerCalls() override;
    void cancelServerCalls() override;
    [[nodiscard]] bool isServerBusy() const override;

private:
    /// The part of one shard.
    struct Part
    {
        std::size_t shard = 0;
        std::string receipt;
    };
    /// Shards that a coordinator in another data centre asks.
    struct Group
    {
        std::shared_ptr<CoordinatorCall> call;
        std::vector<std::size_t> shards;
    };

    /// Number of shards that can take the request before its deadline.
    [[nodiscard]] std::size_t reachableShards() const;
    /// Time until as many shards as an answer requires can take the request.
    [[nodiscard]] Duration untilAnswerable() const;
    /// Hands shards to coordinators in other data centres. Returns the shards that are left.
    std::vector<std::size_t> delegateShards(std::vector<std::size_t> shards);
    void askShard(std::size_t shard, bool isRerun);
    void onOutcome(std::size_t shard, ServiceOutcome outcome);
    /// `missable` is the number of shards of the group that its reply may lack at the objective.
    void askGroup(const Instance &coordinator, std::vector<std::size_t> shards,
                  std::size_t missable);
    void onGroupResult(const CoordinatorCall &call, CoordinatorResult result,
                       PeerGatherReply reply);
    void onGroupReply(const Group &group, PeerGatherReply reply);
    /// Called at answerBy(); from then on a partial answer is permitted.
    void onObjectiveTimer();
    /// Answers or fails the call if its result is known, otherwise keeps waiting.
    void checkCompletion();
    void answerWithParts();
    void failIncomplete();
    [[nodiscard]] ExecutionState ranState() const;

    /// Number of shards asked, and how many of them an answer requires.
    std::size_t m_shardCount;
    std::size_t m_requiredShards;
    /// The calls of the shards that are asked from here, by position in the route.
    std::vector<std::shared_ptr<ServiceCall>> m_calls;
    std::vector<Group> m_groups;
    std::optional<GatherRules> m_groupRules;
    std::vector<Part> m_parts;
    /// Records of single parts, and of merged parts.
    std::vector<std::string> m_bodies;
    std::size_t m_pendingShards = 0;
    /// When the shards that could not take the request do so again.
    Duration m_retryAfter{};
    bool m_isPartialAllowed = false;
    bool m_anyRan = false;
    Subscription m_objectiveTimer;
};

/// A gathered request that a coordinator executes. Tries further coordinators when one fails, and
/// executes the request here when none can be reached.
class DelegatedGatherCall final : public CallBase
{
public:
    DelegatedGatherCall(Gateway &gateway, GatherDelegation &delegation,
                        std::shared_ptr<const CallerRequest> request, CallTerms terms,
                        AnswerCallback answer);

protected:
    void begin() override;
    void onDeadline() override;
    void abandonServerCalls() override;
    void cancelServerCalls() override {}
    [[nodiscard]] bool isServerBusy() const override { return false; }

private:
    /// Asks the next coordinator, or executes the request here.
    void tryNext();
    void executeHere();
    void onResult(const CoordinatorCall &call, CoordinatorResult result, PeerGatherReply reply);
    void onReply(const Instance &coordinator, PeerGatherReply reply);
    /// Sends the request elsewhere unless that could exceed the permitted attempts.
    void rerun(bool mayHaveHedged);
    [[nodiscard]] bool isAnyCallSound() const;

    GatherDelegation &m_delegation;
    GatherRules m_rules;
    std::uint64_t m_rulesDigest;
    std::vector<std::shared_ptr<CoordinatorCall>> m_calls;
    std::vector<InstanceId> m_tried;
    /// True when a coordinator may have begun to execute the request.
    bool m_mayHaveRun = false;
    bool m_wasRerun = false;
    std::shared_ptr<CallBase> m_localCall;
};

} // namespace oleander::gateway
