#pragma once

#include "History.h"

namespace oleander::fakes {

/// What a session may cost; everything else is a promise without a number.
struct JudgeRules
{
    /// An answer may come this long after the deadline: time on the way to the caller.
    Duration answerSlack = milliseconds(25);
    /// A daemon that knows of a drain sends nothing new to that server after this.
    Duration drainGrace = seconds(3);
    /// Servers that one query may crash in the whole session.
    std::size_t crashLimit = 64;
    /// With planned stops only, no query may end without its whole answer once it was accepted.
    bool isEveryAnswerWhole = false;
};

/// Every promise that the session broke, each with the query and what was seen. Empty when none.
std::vector<std::string> brokenPromises(const History &history, const JudgeRules &rules);

} // namespace oleander::fakes
