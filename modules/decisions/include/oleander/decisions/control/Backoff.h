#pragma once

#include <oleander/core/Units.h>

#include <cstdint>

namespace oleander {

/// Parameters of the exponential backoff between failed attempts.
struct BackoffRules
{
    Duration first = milliseconds(200);
    Duration longest = seconds(2);
};

/// The delay before the next attempt after `failures` consecutive failures (at least one).
///
/// The delay doubles with each failure up to `rules.longest`. Jitter taken from `random` reduces it
/// by up to one half, so that daemons that failed at the same time do not retry at the same time.
Duration backoffDelay(int failures, const BackoffRules &rules, std::uint64_t random);

} // namespace oleander
