#include <oleander/decisions/request/ExtraLoad.h>

#include <algorithm>

namespace oleander {

namespace {

constexpr std::int64_t extraCost = 1000;
constexpr std::int64_t maximumCredit = 40 * extraCost;
constexpr std::int64_t minimumCredit = -40 * extraCost;
constexpr std::int64_t shedCost = 2 * extraCost;
/// The hedge delay is this multiple of the measured quantile.
constexpr int quantileFactor = 2;

} // namespace

void earnExtra(ExtraLoadBudget &budget, PerMille share)
{
    budget.credit = std::min(maximumCredit, budget.credit + share.value);
}

bool takeExtra(ExtraLoadBudget &budget)
{
    if (budget.credit < extraCost)
        return false;
    budget.credit -= extraCost;
    return true;
}

void noteShed(ExtraLoadBudget &budget)
{
    budget.credit = std::max(minimumCredit, budget.credit - shedCost);
}

Duration hedgeDelay(const Policy &policy, Duration quantile)
{
    return std::max(policy.hedgeDelayMinimum, quantileFactor * quantile);
}

} // namespace oleander
