#pragma once

#include <oleander/bench/LoadPlan.h>
#include <oleander/core/Query.h>

#include <string>
#include <vector>

namespace oleander::bench {

/// What is untrue in an answer of the stand-in servers to a query of this class. Empty when the
/// answer keeps its promises: every document is of the asked query and of the answer's one
/// snapshot, each is there once, the covered shards are those that the coverage claims, whole, and
/// the outcome agrees with the coverage.
std::vector<std::string> answerFaults(const QueryClass &asked, const Query &query,
                                      const Answer &answer);

} // namespace oleander::bench
