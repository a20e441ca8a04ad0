#include <oleander/decisions/request/ExtraLoad.h>

#include <algorithm>

namespace oleander {

namespace {

constexpr std::int64_t costOfExtra = 1000;
constexpr std::int64_t largestCredit = 40 * costOfExtra;
constexpr std::int64_t largestDebt = -40 * costOfExtra;
constexpr std::int64_t costOfShed = 2 * costOfExtra;
/// The hedge delay is this multiple of the measured quantile.
constexpr int quantileFactor = 2;

} // namespace

void earnExtra(ExtraLoadBudget &budget, PerMille share)
{
    budget.credit = std::min(largestCredit, budget.credit + share.value);
}

bool takeExtra(ExtraLoadBudget &budget)
{
    if (budget.credit < costOfExtra)
        return false;
    budget.credit -= costOfExtra;
    return true;
}

void noteShed(ExtraLoadBudget &budget)
{
    budget.credit = std::max(largestDebt, budget.credit - costOfShed);
}

Duration hedgeDelay(const Policy &policy, Duration quantile)
{
    return std::max(policy.hedgeDelayMinimum, quantileFactor * quantile);
}

} // namespace oleander
