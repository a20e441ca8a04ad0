#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>

#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// Priority of a query. Urgent queries are admitted and queued before normal ones, and these before
/// bulk ones.
enum class Urgency { Bulk, Normal, Urgent };

/// How long a query waits for shards that have not answered.
enum class Patience {
    /// Wait until Policy::tailLimit, then return the partial answer.
    Tail,
    /// Wait until the deadline of the query.
    Coverage,
};

/// The settings that apply to one subject; defaults and exceptions may set each of them. The JSON
/// keys name the units, which the types express here.
struct Policy
{
    /// Deadline of a query that specifies none.
    Duration defaultDeadline = milliseconds(1000);
    Duration maximumDeadline = seconds(30);
    std::size_t maximumPayloadBytes = 65536;
    Patience patience = Patience::Tail;
    /// With Patience::Tail, the time after which missing shards are no longer waited for.
    Duration tailLimit = milliseconds(60);

    /// Number of coordinators of a service. Each of them opens at most connectionsPerServer
    /// connections to each server of the service.
    int coordinators = 4;
    int connectionsPerServer = 4;
    /// Share of a server's connection limit that the fleet uses in normal operation.
    PerMille connectionShare{750};

    bool hedging = true;
    /// Quantile of the observed latencies from which the hedging delay of idempotent sub-requests
    /// is computed.
    PerMille hedgeQuantile{950};
    Duration hedgeDelayMinimum = milliseconds(2);
    /// Extra sub-requests (hedges and retries) per thousand first attempts.
    PerMille extraLoadBudget{40};
    int maximumAttempts = 3;

    /// Longest time that a sub-request waits in a coordinator's queue for a free slot.
    Duration queueLimit = milliseconds(40);
    /// Sub-requests that a coordinator may have in flight at a server beyond its share of the
    /// server's slots.
    int pipelineDepth = 1;
    /// Share of a coordinator's sub-requests that one caller may have while others wait.
    PerMille callerShare{500};
    /// Callers that may use Urgency::Urgent; if empty, all may.
    std::vector<CallerId> urgentCallers;

    /// Whether a query with an unknown fingerprint is first sent to one server only.
    bool canary = true;
    /// How long a fingerprint counts as harmless after a server has executed it without crashing.
    Duration canaryMemory = seconds(600);
    /// How long a fingerprint is treated as suspected after the last server loss attributed to it.
    Duration crashRefusal = seconds(60);
    /// Number of lost servers after which a fingerprint is refused.
    int crashServerLimit = 2;

    /// Largest share of a service's servers that may be ejected at the same time.
    PerMille ejectionLimit{300};
    Duration ejectionTime = seconds(5);
    Duration slowStart = seconds(10);
    /// When a reply is overdue by this much, the server is probed on a new connection.
    Duration silenceLimit = milliseconds(250);
    /// How long a server counts as draining after it was last reported to be.
    Duration drainMemory = seconds(30);
    /// How long the ids of non-idempotent requests are remembered.
    Duration requestMemory = seconds(900);

    /// Latency objective, used by the error budget report.
    Duration latencyObjective = milliseconds(64);
    /// Share of answers that must meet the latency objective.
    PerMille latencyGoal{990};
    /// Share of the requested shards that answers must cover.
    PerMille coverageGoal{999};

    bool operator==(const Policy &) const = default;
};

/// The scope of an exception, or the request for which a policy is looked up. In an exception,
/// empty members match everything.
struct Subject
{
    BackendId backend;
    ServiceId service;
    CallerId caller;
    DataCentreId dataCentre;
    InstanceId instance;

    bool operator==(const Subject &) const = default;
};

/// One exception: its scope, the reason for it, and the values that it overrides.
struct PolicyException
{
    std::string name;
    Subject covers;
    std::string reason;
    /// Only the members listed in `fields` are meaningful.
    Policy values;
    /// JSON names of the policy members that this exception overrides, in the order of the file.
    std::vector<std::string> fields;

    bool operator==(const PolicyException &) const = default;
};

/// The validated configuration of a fleet. Later exceptions take precedence over earlier ones.
struct PolicySet
{
    FleetId fleet;
    SectionVersion version;
    Policy defaults;
    std::vector<PolicyException> exceptions;

    bool operator==(const PolicySet &) const = default;
};

} // namespace oleander
