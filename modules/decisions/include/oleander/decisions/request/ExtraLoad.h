#pragma once

#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <cstdint>

namespace oleander {

/// Token bucket shared by the hedges and retries (extra sub-requests) of a service.
///
/// Each first attempt adds a fraction of a token and each extra sub-request takes a whole one, so
/// apart from a small burst, extra sub-requests never exceed the configured share of first
/// attempts. A shed reply removes tokens. While sub-requests wait for slots, nothing is hedged.
struct ExtraLoadBudget
{
    /// In thousandths of an extra sub-request; may be negative after shed replies.
    std::int64_t credit = 4000;
};

/// Adds credit for a first attempt.
void earnExtra(ExtraLoadBudget &budget, PerMille share);

/// Takes the credit for one extra sub-request; returns false if there is too little.
bool takeExtra(ExtraLoadBudget &budget);

/// Removes credit because a server refused a sub-request for overload.
void noteShed(ExtraLoadBudget &budget);

/// How long an idempotent sub-request runs before it is hedged: a multiple of the measured
/// quantile, so that under normal conditions hedges are rare.
Duration hedgeDelay(const Policy &policy, Duration quantile);

} // namespace oleander
