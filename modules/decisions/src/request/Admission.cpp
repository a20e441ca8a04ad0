#include <oleander/decisions/request/Admission.h>

#include <algorithm>

namespace oleander {

namespace {

Duration maximumWait(Urgency urgency, const Policy &policy)
{
    return urgency == Urgency::Bulk ? policy.queueLimit / 2 : policy.queueLimit;
}

bool exceedsFairShare(const AdmissionFacts &facts, const Policy &policy)
{
    if (!facts.isQueueing || facts.totalSubRequests == 0)
        return false;
    const bool hasOtherCallers = facts.callerSubRequests < facts.totalSubRequests;
    return hasOtherCallers
           && static_cast<std::int64_t>(facts.callerSubRequests) * 1000
                  > static_cast<std::int64_t>(facts.totalSubRequests) * policy.callerShare.value;
}

} // namespace

bool admitQuery(const AdmissionFacts &facts, Urgency urgency, const Policy &policy, Reason &reason)
{
    if (facts.timeLeft < facts.usualLatency / 2 || facts.timeLeft.count() <= 0) {
        reason.set(ErrorKind::DeadlineTooShort,
                   std::to_string(inMilliseconds(facts.timeLeft)) + " ms are left, usual are "
                       + std::to_string(inMilliseconds(facts.usualLatency)) + " ms");
        return false;
    }
    const Duration limit = std::min(maximumWait(urgency, policy), facts.timeLeft);
    if (facts.expectedWait > limit) {
        reason.set(ErrorKind::Overloaded,
                   "expected wait of " + std::to_string(inMilliseconds(facts.expectedWait))
                       + " ms is over " + std::to_string(inMilliseconds(limit)) + " ms");
        return false;
    }
    if (urgency != Urgency::Urgent && exceedsFairShare(facts, policy)) {
        reason.set(ErrorKind::OverFairShare, "the caller holds "
                                                 + std::to_string(facts.callerSubRequests) + " of "
                                                 + std::to_string(facts.totalSubRequests)
                                                 + " sub-requests while others wait");
        return false;
    }
    return true;
}

Urgency permittedUrgency(const Query &query, const Policy &policy)
{
    if (query.urgency != Urgency::Urgent || policy.urgentCallers.empty())
        return query.urgency;
    const bool isPermitted =
        std::ranges::find(policy.urgentCallers, query.caller) != policy.urgentCallers.end();
    return isPermitted ? Urgency::Urgent : Urgency::Normal;
}

} // namespace oleander
