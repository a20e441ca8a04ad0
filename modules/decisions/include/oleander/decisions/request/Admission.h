#pragma once

#include <oleander/core/Policy.h>
#include <oleander/core/Query.h>
#include <oleander/core/Reason.h>
#include <oleander/core/Units.h>

namespace oleander {

/// What a coordinator knows when a query asks for admission.
struct AdmissionFacts
{
    Duration timeLeft{};
    /// Expected wait for a slot at the query's busiest shard, behind work of equal or higher
    /// urgency.
    Duration expectedWait{};
    /// Usual latency of a sub-request once it is sent.
    Duration usualLatency{};
    /// Sub-requests of this caller that wait or run, and of all callers together.
    int callerWork = 0;
    int totalWork = 0;
    /// Whether any sub-request is waiting for a slot.
    bool isQueueing = false;
};

/// Whether to take a query. A refusal is early and true: nothing was run. Refuses with
/// DeadlineTooShort, Overloaded or OverFairShare. Bulk queries may wait half as long as normal
/// ones.
bool admitQuery(const AdmissionFacts &facts, Urgency urgency, const Policy &policy, Reason &reason);

/// The urgency a caller is entitled to: callers that may not be urgent are taken as normal.
Urgency permittedUrgency(const Query &query, const Policy &policy);

} // namespace oleander
