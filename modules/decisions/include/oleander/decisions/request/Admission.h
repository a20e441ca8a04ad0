#pragma once

#include <oleander/core/Policy.h>
#include <oleander/core/Query.h>
#include <oleander/core/Reason.h>
#include <oleander/core/Units.h>

namespace oleander {

/// The inputs of a coordinator's admission decision.
struct AdmissionFacts
{
    Duration timeLeft{};
    /// Expected wait for a slot at the busiest shard of the query, behind sub-requests of the same
    /// or a higher urgency.
    Duration expectedWait{};
    /// Typical latency of a sub-request, from sending to reply.
    Duration usualLatency{};
    /// Queued and running sub-requests of this caller, and of all callers.
    int callerSubRequests = 0;
    int totalSubRequests = 0;
    /// Whether any sub-request waits for a slot.
    bool isQueueing = false;
};

/// Whether to admit a query. A refused query has not been executed; the reason is DeadlineTooShort,
/// Overloaded or OverFairShare. Bulk queries may wait half as long as normal ones.
bool admitQuery(const AdmissionFacts &facts, Urgency urgency, const Policy &policy, Reason &reason);

/// The urgency of the query, lowered to Normal if the policy does not allow its caller to use
/// Urgent.
Urgency permittedUrgency(const Query &query, const Policy &policy);

} // namespace oleander
