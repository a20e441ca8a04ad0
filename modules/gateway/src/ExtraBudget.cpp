#include <oleander/gateway/ExtraBudget.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

/// Credit that can be saved up. With it and the refill, a window never sees more than the rules'
/// share and twice the allowance.
double mostCredit(const ExtraBudgetRules &rules)
{
    return std::max(1.0, rules.allowance);
}

} // namespace

ExtraBudget freshBudget(const ExtraBudgetRules &rules, TimePoint now)
{
    return {mostCredit(rules), 1.0, now};
}

void earnExtra(ExtraBudget &budget, const ExtraBudgetRules &rules)
{
    // What is earned may be spent a little later than the request that earned it.
    constexpr double earnedReserve = 2.0;
    constexpr double mostHedges = 3.0;
    budget.hedgeCredit = std::min(budget.hedgeCredit + rules.hedgeShare, mostHedges);
    budget.credit = std::min(budget.credit + rules.share, mostCredit(rules) + earnedReserve);
}

bool takeExtra(ExtraBudget &budget, const ExtraBudgetRules &rules, ExtraKind kind, TimePoint now)
{
    const auto passed = static_cast<double>((now - budget.refilled).count());
    const double refill = rules.allowance * passed / static_cast<double>(rules.window.count());
    budget.refilled = now;
    if (budget.credit < mostCredit(rules))
        budget.credit = std::min(budget.credit + refill, mostCredit(rules));
    if (budget.credit < 1.0 || (kind == ExtraKind::Hedge && budget.hedgeCredit < 1.0))
        return false;
    budget.credit -= 1.0;
    if (kind == ExtraKind::Hedge)
        budget.hedgeCredit -= 1.0;
    return true;
}

} // namespace oleander::gateway
