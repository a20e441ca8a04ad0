#pragma once

#include <oleander/core/Units.h>
#include <oleander/gateway/ExtraBudget.h>

#include <optional>

namespace oleander::gateway {

/// The values that steer the gateway. Set for the whole fleet.
struct GatewayPolicy
{
    /// Time kept back from a route's objective for the way to the caller and back.
    Duration answerMargin = milliseconds(16);
    /// Time kept back from a caller's deadline, so that the last word still reaches it.
    Duration deadlineMargin = milliseconds(20);
    /// A request is sent to a second server when it has taken longer than this share of its kind.
    PerMille hedgeQuantile{900};
    /// Shortest wait before a second sending.
    Duration hedgeMinimum = milliseconds(8);
    /// Part of a route's objective that a request may take before it is sent to a second server,
    /// which then still answers in time. Sooner, most second sendings would be wasted.
    double hedgeAfter = 0.4;
    /// Parts that nobody needs any more are stopped after this time; those that are about to end
    /// keep their connection.
    Duration leftoverDelay = milliseconds(5);
    /// Wait before an idempotent or unexecuted request that no server could take is tried again;
    /// doubles up to the longest.
    Duration firstRetryWait = milliseconds(25);
    Duration longestRetryWait = milliseconds(200);
    /// Instances that share each server's connections; nothing while that is not known.
    std::optional<int> instances;
    /// Most connections to one server.
    int connectionsPerServer = 12;
    /// Servers are told to stop when the caller has been gone for this long; requests that end
    /// sooner keep their connection.
    Duration cancelDelay = milliseconds(300);
    /// When a refused caller is told to come back, where nothing better is known.
    Duration retryAfter = milliseconds(400);
    /// A connection on which a reply is overdue for this long beyond its deadline is given up.
    Duration silenceLimit = milliseconds(400);
    /// Idle connections younger than this carry requests that may be executed only once.
    Duration freshIdleTime = milliseconds(2000);
    /// Idle connections are closed after this time.
    Duration idleLimit = seconds(20);
    /// The same where connections are scarce, for those that are opened only when needed. Servers
    /// hold them for longer when an instance loses power.
    Duration scarceIdleLimit = seconds(2);
    ExtraBudgetRules extras;
};

} // namespace oleander::gateway
