#pragma once

#include <oleander/gateway/GatewayPolicy.h>
#include <oleander/gateway/HttpMessage.h>
#include <oleander/gateway/RouteTable.h>
#include <oleander/gateway/ServerFleet.h>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace oleander::gateway {

/// A request that was accepted and has not been answered.
class Call
{
public:
    virtual ~Call() = default;

    /// Called when the caller has disconnected. Nothing more is sent, and running idempotent
    /// requests are cancelled after a short delay.
    virtual void onCallerDisconnected() = 0;
};

using AnswerCallback = std::function<void(CallerAnswer)>;

/// Builds the header fields of an answer that is merged from several servers' replies.
using GatherHeaderBuilder = std::function<std::vector<HttpField>(
    const std::vector<std::string> &receipts, std::size_t missing)>;

/// A gathered request that another instance has handed to this one.
struct CoordinatedRequest
{
    std::shared_ptr<const CallerRequest> request;
    std::shared_ptr<const Route> route;
    TimePoint deadline{};
    /// Latest time to answer so that the route's objective is met.
    TimePoint answerBy{};
    /// True when another instance may have begun to execute the request.
    bool isRerun = false;
    /// Positions of the shards to be asked; empty for all.
    std::vector<std::size_t> shards;
    /// Parts of these shards that an answer needs while others are still awaited.
    std::size_t minimumParts = 0;
};

/// Counters since process start.
struct GatewayCounts
{
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t disconnected = 0;
    /// Requests for which admission was decided here, and those of them that were refused because
    /// they would have missed the objective or the deadline.
    std::uint64_t offered = 0;
    std::uint64_t refusedForLoad = 0;
    std::uint64_t refusedForDeadline = 0;
    /// Gathered requests handed to a coordinator.
    std::uint64_t delegated = 0;
    /// Gathered requests handed to another coordinator, because the first may have failed.
    std::uint64_t rerun = 0;
    /// Gathered requests that no coordinator could take, executed here.
    std::uint64_t undelegated = 0;
    /// Gathered requests executed for other instances, for all shards or for some.
    std::uint64_t coordinated = 0;
    /// Groups of shards handed to coordinators in other data centres.
    std::uint64_t delegatedGroups = 0;
};

class CallBase;
class GatherDelegation;

/// Accepts callers' requests and answers each exactly once.
class Gateway
{
public:
    Gateway(ServerFleet &fleet, TimerService &timer, RandomSource &random, EventLog &log,
            const GatewayPolicy &policy, GatherHeaderBuilder buildGatherHeaders);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /// Applies a configuration. Ignored unless its version is higher than the current one. Returns
    /// false if it is lower.
    bool configure(GatewayConfiguration configuration);
    [[nodiscard]] RouteTablePtr routes() const { return m_routes; }

    /// Hands gathered requests to coordinators from now on. The delegation must outlive the calls.
    void setDelegation(GatherDelegation *delegation) { m_delegation = delegation; }

    /// Handles a request. `answer` is called once, never synchronously from handle(), and not at
    /// all if the caller disconnects first.
    std::shared_ptr<Call> handle(std::shared_ptr<const CallerRequest> request,
                                 AnswerCallback answer);

    /// Executes a gathered request for another instance.
    std::shared_ptr<Call> coordinate(const CoordinatedRequest &coordinated, AnswerCallback answer);

    /// Called when the process is about to stop: at `end` all requests still in progress are
    /// answered with what is there. Requests that can not meet their objective by then are refused.
    void beginStop(TimePoint end);

    [[nodiscard]] std::size_t activeCalls() const { return m_calls.size(); }
    [[nodiscard]] const GatewayCounts &counts() const { return m_counts; }

private:
    friend class CallBase;
    friend class GatherCall;
    friend class ForwardCall;
    friend class DelegatedGatherCall;
    struct RouteState;

    RouteState &routeState(const RouteId &route);
    void endCalls();

    ServerFleet &m_fleet;
    TimerService &m_timer;
    RandomSource &m_random;
    EventLog &m_log;
    const GatewayPolicy &m_policy;
    GatherHeaderBuilder m_buildGatherHeaders;
    GatherDelegation *m_delegation = nullptr;
    RouteTablePtr m_routes;
    std::unordered_map<RouteId, std::unique_ptr<RouteState>> m_routeStates;
    std::unordered_set<CallBase *> m_calls;
    GatewayCounts m_counts;
    std::optional<TimePoint> m_stopAt;
    Subscription m_stopTimer;
};

} // namespace oleander::gateway
