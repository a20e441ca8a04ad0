#include <oleander/decisions/request/GatherAdmission.h>

#include <algorithm>

namespace oleander {

namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

/// The wait with which the request would still be admitted.
Duration admittedWait(const GatherAdmissionFacts &facts)
{
    const Duration left = facts.isBelowHigher ? scaled(facts.objectiveLeft, admittedObjectiveShare)
                                              : facts.deadlineLeft;
    return std::max(Duration{}, left - facts.usualExecution);
}

} // namespace

Duration requiredWait(std::span<Duration> waits, std::size_t missable)
{
    if (waits.size() <= missable)
        return {};
    const auto decisive = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() - 1 - missable);
    std::nth_element(waits.begin(), decisive, waits.end());
    return *decisive;
}

AdmissionVerdict admitGather(const GatherAdmissionFacts &facts)
{
    if (facts.expectedWait <= admittedWait(facts) || facts.expectedWait <= Duration{})
        return AdmissionVerdict::Admitted;
    return facts.isBelowHigher ? AdmissionVerdict::ObjectiveMissed
                               : AdmissionVerdict::DeadlineMissed;
}

Duration refusalRetryAfter(const GatherAdmissionFacts &facts, double fraction)
{
    // Callers wait for a third of the time that they have left.
    constexpr int honouredDivisor = 3;
    const Duration latest = std::max(Duration{}, facts.deadlineLeft / honouredDivisor);
    const Duration drained =
        std::min(latest, std::max(Duration{}, facts.expectedWait - admittedWait(facts)));
    // The more work is waiting, the more callers have to be spread. A caller that comes back soon
    // can still be answered within its objective.
    return std::min(latest, drained + scaled(facts.expectedWait, fraction));
}

} // namespace oleander
