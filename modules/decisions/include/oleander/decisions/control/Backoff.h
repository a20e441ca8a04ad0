#pragma once

#include <oleander/core/Units.h>

#include <cstdint>

namespace oleander {

/// How the wait between failing attempts grows.
struct BackoffRules
{
    Duration first = milliseconds(200);
    Duration most = seconds(2);
};

/// The wait before the next attempt after `failures` failed ones in a row, at least one: doubled
/// each time up to the most, and of that between one half and the whole, by `random`, so that many
/// daemons that failed together do not come back together.
Duration backoffDelay(int failures, const BackoffRules &rules, std::uint64_t random);

} // namespace oleander
