#pragma once

#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <cstdint>

namespace oleander {

/// The one budget that hedges and retries of a service are paid from.
///
/// Each first send earns a fraction of an extra send, and each extra send costs a whole one, so
/// extras never exceed the configured share of first sends beyond a small burst. A shed reply takes
/// credit away, and while sub-requests wait for slots nothing may be hedged.
struct ExtraLoadBudget
{
    /// In thousandths of an extra send; negative after sheds.
    std::int64_t credit = 4000;
};

/// A sub-request was sent for the first time.
void earnExtra(ExtraLoadBudget &budget, PerMille share);

/// Takes one extra send if the budget allows it.
bool takeExtra(ExtraLoadBudget &budget);

/// A server refused for load.
void noteShed(ExtraLoadBudget &budget);

/// How long an idempotent sub-request runs before it is hedged: a multiple of the learned quantile,
/// so that in calm weather almost nothing is.
Duration hedgeDelay(const Policy &policy, Duration quantile);

} // namespace oleander
