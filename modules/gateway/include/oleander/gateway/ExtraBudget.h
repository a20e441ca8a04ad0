#pragma once

#include <oleander/core/Units.h>

namespace oleander::gateway {

/// What a service may be sent beyond the first sending of each request, by this instance.
///
/// All instances share one allowance that is counted over a sliding window. Each keeps its own part
/// without talking: what its own requests earn, and a fixed number a window.
struct ExtraBudgetRules
{
    /// Extra sendings earned by each first one.
    double share = 0.19;
    /// Extra sendings in any window that need not be earned. Below 2.5 one more can come, since the
    /// budget keeps whole ones.
    double allowance = 1.0;
    Duration window = seconds(10);
    /// Of the extra sendings, those that are hedges may be earned at this rate. The rest is kept
    /// for requests that have failed, which cannot be served otherwise.
    double hedgeShare = 0.17;
};

struct ExtraBudget
{
    double credit = 0;
    double hedgeCredit = 0;
    TimePoint refilled{};
};

/// A budget that has nothing saved.
[[nodiscard]] ExtraBudget freshBudget(TimePoint now);

/// A request was sent for the first time.
void earnExtra(ExtraBudget &budget, const ExtraBudgetRules &rules);

/// What an extra sending is for.
enum class ExtraKind {
    /// The former sending has failed.
    Retry,
    /// The former sending is still out.
    Hedge,
};

/// Takes one extra sending if there is one left.
bool takeExtra(ExtraBudget &budget, const ExtraBudgetRules &rules, ExtraKind kind, TimePoint now);

} // namespace oleander::gateway
