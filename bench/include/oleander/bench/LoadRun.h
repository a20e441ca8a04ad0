#pragma once

#include <oleander/bench/LoadPlan.h>
#include <oleander/bench/LoadResult.h>
#include <oleander/core/Reason.h>

#include <optional>

namespace oleander::bench {

/// Runs a plan against daemons and stand-ins that are up: an open loop, in which no answer delays
/// the next query. Blocks until the plan's end.
std::optional<LoadResult> runLoad(const LoadPlan &plan, Reason &reason);

} // namespace oleander::bench
