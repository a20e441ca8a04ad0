#pragma once

#include <oleander/core/Units.h>
#include <oleander/decisions/request/CrashMemory.h>
#include <oleander/gateway/ExtraBudget.h>

#include <optional>

namespace oleander::gateway {

/// Assumed number of instances that share what a server accepts until the real number is known.
constexpr int assumedSharers = 24;

/// Tuning parameters of the gateway, the same for the whole fleet.
struct GatewayPolicy
{
    /// Time reserved before the caller's deadline so that the last possible answer arrives in time.
    Duration deadlineMargin = milliseconds(20);
    /// A request is hedged when it has taken longer than this quantile of the route's latencies.
    PerMille hedgeQuantile{900};
    /// Minimum delay before a hedge.
    Duration minimumHedgeDelay = milliseconds(8);
    /// Share of a route's objective after which a request is hedged. The second server can then
    /// still answer in time. With a lower value most hedges would be unnecessary.
    double hedgeObjectiveShare = 0.4;
    /// Delay before requests whose results are no longer needed are cancelled. Requests that finish
    /// sooner keep their connection.
    Duration unneededCancelDelay = milliseconds(5);
    /// Initial and maximum delay before retrying a request that no server could accept; doubles
    /// with each retry. Applies to idempotent requests and those that were not executed.
    Duration initialRetryDelay = milliseconds(25);
    Duration maximumRetryDelay = milliseconds(200);
    /// Number of instances that share each server's connections, if known.
    std::optional<int> instances;
    /// Maximum number of connections to one server.
    int connectionsPerServer = 12;
    /// Delay before requests of a disconnected caller are cancelled at the servers. Requests that
    /// finish sooner keep their connection.
    Duration cancelDelay = milliseconds(300);
    /// Default value of the Retry-After header in refusals.
    Duration retryAfter = milliseconds(400);
    /// Retry-After of an instance that has started and does not know a configuration yet. Longer
    /// than it takes to read one, since a caller that comes back too early is refused again.
    Duration startRetryAfter = seconds(1);
    /// A connection is closed when its reply is overdue by this time after the deadline.
    Duration silenceLimit = milliseconds(400);
    /// Maximum idle time of a connection that carries non-idempotent requests.
    Duration nonIdempotentIdleLimit = milliseconds(2000);
    /// Idle connections are closed after this time.
    Duration idleLimit = seconds(20);
    /// Idle limit of connections that are opened on demand because a server accepts fewer
    /// connections than there are instances. Servers hold connections for longer when an instance
    /// loses power.
    Duration onDemandIdleLimit = seconds(2);
    ExtraBudgetRules extraAttempts;
    /// Requests that crash servers. All are sent to all shards at once at first: a canary would
    /// delay each by the time of one server.
    CrashRules crashes{.canary = false, .refusal = seconds(600)};
    /// Extra attempts that all instances together may send to a service in any window, regardless
    /// of the number of first attempts.
    double fleetExtraAllowance = 0;
    /// Time reserved for a reply of a coordinator on its way to the entry instance, until it has
    /// been measured.
    Duration coordinatorHop = milliseconds(4);
    /// A coordinator that has not replied after this share of the route's objective is probed.
    double coordinatorProbeShare = 0.25;
    Duration minimumCoordinatorProbeDelay = milliseconds(20);
    /// Time within which a coordinator responds to a probe. Longer than the pauses of a process
    /// that has used up its share of a processor, since a request that is executed by two
    /// coordinators may reach more servers than permitted.
    Duration coordinatorResponseTime = milliseconds(250);
    /// Whether requests of lower priorities are held back while servers are busy, so that those of
    /// the highest priority find short queues, and requests that would be late are refused. The
    /// settings file switches it on (`loadControl`).
    bool isLoadControlled = true;
    /// Maximum number of gathered requests that this instance coordinates for others at a time.
    std::size_t coordinatedGathers = 128;
};

} // namespace oleander::gateway
