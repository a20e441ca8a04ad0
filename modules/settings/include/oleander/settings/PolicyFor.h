#pragma once

#include <oleander/core/Policy.h>

namespace oleander {

/// Whether an exception that covers `covers` applies to `subject`. An empty member of `covers`
/// matches everything; a named one matches only its equal.
bool isCovered(const Subject &covers, const Subject &subject);

/// The values in force for a subject: the defaults, changed by each exception that covers the
/// subject, in the order written, so that later exceptions go before earlier ones.
///
/// Called once for each query and service. Its cost grows with the number of exceptions. The set
/// must come from parsePolicySet(); an exception's field that the table does not know is a mistake
/// of the caller.
Policy policyFor(const PolicySet &set, const Subject &subject);

} // namespace oleander
