#include <oleander/gateway/ExtraBudget.h>

#include <algorithm>

namespace oleander::gateway {

namespace {

// Parts of the allowance. A window can begin with all that was saved, and sees what is refilled and
// earned in it: together they are the allowance, and what the window's requests earn.
constexpr double refilledPart = 0.4;
constexpr double savedPart = 0.4;
/// What is earned may be spent a little later than the request that earned it.
constexpr double earnedPart = 0.2;
/// Hedges that can be saved up.
constexpr double mostHedges = 3.0;

/// Credit that can be saved up by refilling; one extra sending at least, or there would never be
/// one.
double mostRefilled(const ExtraBudgetRules &rules)
{
    return std::max(1.0, rules.allowance * savedPart);
}

} // namespace

ExtraBudget freshBudget(TimePoint now)
{
    // Nothing is saved yet: many instances may start at once, and more than once in a window.
    return {0, 1.0, now};
}

void earnExtra(ExtraBudget &budget, const ExtraBudgetRules &rules)
{
    budget.hedgeCredit = std::min(budget.hedgeCredit + rules.hedgeShare, mostHedges);
    budget.credit =
        std::min(budget.credit + rules.share, mostRefilled(rules) + earnedPart * rules.allowance);
}

bool takeExtra(ExtraBudget &budget, const ExtraBudgetRules &rules, ExtraKind kind, TimePoint now)
{
    const auto passed = static_cast<double>((now - budget.refilled).count());
    const double refill =
        refilledPart * rules.allowance * passed / static_cast<double>(rules.window.count());
    budget.refilled = now;
    if (budget.credit < mostRefilled(rules))
        budget.credit = std::min(budget.credit + refill, mostRefilled(rules));
    if (budget.credit < 1.0 || (kind == ExtraKind::Hedge && budget.hedgeCredit < 1.0))
        return false;
    budget.credit -= 1.0;
    if (kind == ExtraKind::Hedge)
        budget.hedgeCredit -= 1.0;
    return true;
}

} // namespace oleander::gateway
