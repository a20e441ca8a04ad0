#pragma once

#include <oleander/gateway/GatewayPolicy.h>
#include <oleander/gateway/HttpMessage.h>
#include <oleander/gateway/RouteTable.h>
#include <oleander/gateway/ServerFleet.h>

#include <functional>
#include <memory>
#include <unordered_map>

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

/// Counters since process start.
struct GatewayCounts
{
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t disconnected = 0;
};

/// Accepts callers' requests and answers each exactly once.
class Gateway
{
public:
    Gateway(ServerFleet &fleet, TimerService &timer, RandomSource &random, EventLog &log,
            const GatewayPolicy &policy, GatherHeaderBuilder buildGatherHeaders);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /// Applies a configuration. Ignored unless its version is higher than the current one.
    void configure(GatewayConfiguration configuration);
    [[nodiscard]] RouteTablePtr routes() const { return m_routes; }

    /// Handles a request. `answer` is called once, never synchronously from handle(), and not at
    /// all if the caller disconnects first.
    std::shared_ptr<Call> handle(std::shared_ptr<const CallerRequest> request,
                                 AnswerCallback answer);

    [[nodiscard]] std::size_t activeCalls() const { return m_activeCalls; }
    [[nodiscard]] const GatewayCounts &counts() const { return m_counts; }

private:
    friend class CallBase;
    friend class GatherCall;
    friend class ForwardCall;
    struct RouteState;

    RouteState &routeState(const RouteId &route);

    ServerFleet &m_fleet;
    TimerService &m_timer;
    RandomSource &m_random;
    EventLog &m_log;
    const GatewayPolicy &m_policy;
    GatherHeaderBuilder m_buildGatherHeaders;
    RouteTablePtr m_routes;
    std::unordered_map<RouteId, std::unique_ptr<RouteState>> m_routeStates;
    std::size_t m_activeCalls = 0;
    GatewayCounts m_counts;
};

} // namespace oleander::gateway
