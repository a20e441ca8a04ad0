#pragma once

#include <oleander/gateway/GatewayPolicy.h>
#include <oleander/gateway/HttpMessage.h>
#include <oleander/gateway/RouteTable.h>
#include <oleander/gateway/ServerFleet.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace oleander::gateway {

/// A request that was taken and has not been answered.
class Call
{
public:
    virtual ~Call() = default;

    /// The caller is gone: nothing more is sent for it, and servers are stopped soon.
    virtual void callerLeft() = 0;
};

using AnswerCallback = std::function<void(CallerAnswer)>;

/// Says how an answer that is made of several servers' replies is written down.
using GatheredFields = std::function<std::vector<HttpField>(
    const std::vector<std::string> &receipts, std::size_t missing)>;

/// Counts since the start.
struct GatewayCounts
{
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t left = 0;
};

/// Takes callers' requests and answers each exactly once.
class Gateway
{
public:
    Gateway(ServerFleet &fleet, TimerService &timer, RandomSource &random, EventLog &log,
            const GatewayPolicy &policy, GatheredFields gatheredFields);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /// Puts a configuration in force. A version that is not above the present one is dropped.
    void configure(GatewayConfiguration configuration);
    [[nodiscard]] RouteTablePtr routes() const { return m_routes; }

    /// Takes a request. `answer` is called once, never from inside handle(), unless the caller
    /// leaves first.
    std::shared_ptr<Call> handle(std::shared_ptr<const CallerRequest> request,
                                 AnswerCallback answer);

    [[nodiscard]] std::size_t activeCalls() const { return m_active; }
    [[nodiscard]] const GatewayCounts &counts() const { return m_counts; }

private:
    friend class CallBase;
    friend class GatherCall;
    friend class ForwardCall;
    struct RouteState;

    RouteState &stateOf(const RouteId &route);

    ServerFleet &m_fleet;
    TimerService &m_timer;
    RandomSource &m_random;
    EventLog &m_log;
    const GatewayPolicy &m_policy;
    GatheredFields m_gatheredFields;
    RouteTablePtr m_routes;
    std::unordered_map<RouteId, std::unique_ptr<RouteState>> m_states;
    std::size_t m_active = 0;
    GatewayCounts m_counts;
};

} // namespace oleander::gateway
