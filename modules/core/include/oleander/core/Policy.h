#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>

#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// How urgent a query is. Urgent queries are admitted and queued before bulk ones.
enum class Urgency { Bulk, Normal, Urgent };

/// When to stop waiting for missing shards.
enum class Patience {
    /// Return as soon as the tail objective would be missed.
    Tail,
    /// Wait for missing shards until the deadline.
    Coverage,
};

/// Every value that a default or an exception may set, for one subject. Units are in the names of
/// the JSON keys; here durations carry them.
struct Policy
{
    /// Deadline of a query that names none.
    Duration defaultDeadline = milliseconds(1000);
    Duration maximumDeadline = seconds(30);
    std::size_t maximumPayloadBytes = 65536;
    Patience patience = Patience::Tail;
    /// With Patience::Tail, missing shards are given up after this.
    Duration tailLimit = milliseconds(60);

    /// Coordinators of a service; each may open connectionsPerServer to each of its servers.
    int coordinators = 4;
    int connectionsPerServer = 4;
    /// Part of a server's connection cap that the fleet may use in the steady state.
    PerMille connectionShare{750};

    bool hedging = true;
    /// Quantile of observed latency after which an idempotent sub-request is hedged.
    PerMille hedgeQuantile{950};
    Duration hedgeDelayMinimum = milliseconds(2);
    /// Extra sub-requests (hedges and retries) per thousand first sends.
    PerMille extraLoadBudget{40};
    int maximumAttempts = 3;

    /// Longest wait for a slot in a coordinator's queue.
    Duration queueLimit = milliseconds(40);
    /// Sub-requests sent beyond a server's slots, as a share of the slots of this coordinator.
    int pipelineDepth = 1;
    /// Share of a coordinator's capacity one caller may take while others wait.
    PerMille callerShare{500};
    /// Callers that may use Urgency::Urgent; empty means all.
    std::vector<CallerId> urgentCallers;

    /// Whether an unknown query goes to one server before the rest.
    bool canary = true;
    /// A fingerprint answered without a crash is taken as harmless for this long.
    Duration canaryMemory = seconds(600);
    /// A fingerprint under suspicion is refused for this long.
    Duration crashRefusal = seconds(60);
    /// Servers one fingerprint may cost before it is refused.
    int crashServerLimit = 2;

    /// At most this share of a service's servers is ejected at a time.
    PerMille ejectionLimit{300};
    Duration ejectionTime = seconds(5);
    Duration slowStart = seconds(10);
    /// A connection that owes a reply this long beyond the usual is tested on a fresh connection.
    Duration silenceLimit = milliseconds(250);
    /// Evidence that a server drains is believed this long without a new confirmation.
    Duration drainMemory = seconds(30);
    /// Request ids of non-idempotent requests are remembered this long.
    Duration requestMemory = seconds(900);

    /// Objectives, for the burn report.
    Duration latencyObjective = milliseconds(64);
    /// Share of answers that must meet the latency objective.
    PerMille latencyGoal{990};
    /// Share of shards that must be covered.
    PerMille coverageGoal{999};

    bool operator==(const Policy &) const = default;
};

/// What an exception or a look-up is about. Empty members match everything.
struct Subject
{
    BackendId backend;
    ServiceId service;
    CallerId caller;
    DataCentreId dataCentre;
    InstanceId instance;

    bool operator==(const Subject &) const = default;
};

/// One exception: what it covers, why it stands, and the values it changes.
struct PolicyException
{
    std::string name;
    Subject covers;
    std::string reason;
    /// Holds the changed values in the members that `fields` names; the other members mean nothing.
    Policy values;
    /// JSON names of the policy members that this exception changes, in the order written.
    std::vector<std::string> fields;

    bool operator==(const PolicyException &) const = default;
};

/// The checked configuration of a fleet. Later exceptions go before earlier ones.
struct PolicySet
{
    FleetId fleet;
    SectionVersion version;
    Policy defaults;
    std::vector<PolicyException> exceptions;

    bool operator==(const PolicySet &) const = default;
};

} // namespace oleander
