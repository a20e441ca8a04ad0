#pragma once

#include "History.h"

namespace oleander::fakes {

/// Tolerances and options of the checks.
struct CheckOptions
{
    /// Largest delay of an answer beyond the deadline, which allows for its transfer to the caller.
    Duration answerTolerance = milliseconds(25);
    /// Time after which a daemon that knows that a server drains must not send it new requests.
    Duration drainTolerance = seconds(3);
    /// Largest number of servers that one query may crash in a session.
    std::size_t maximumCrashedServers = 64;
    /// Whether every accepted query must get a complete answer, as in sessions that contain planned
    /// stops only.
    bool requiresCompleteAnswers = false;
};

/// Checks the history of a session. Returns a description of each violated guarantee, with the
/// query and the observation.
std::vector<std::string> findViolations(const History &history, const CheckOptions &checkOptions);

} // namespace oleander::fakes
