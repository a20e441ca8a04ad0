#pragma once

#include <ostream>

namespace oleander {

/// Where a command writes: results to one stream, faults and progress to the other.
struct Terminal
{
    std::ostream &out;
    std::ostream &err;
};

/// What a command tells the shell. Scripts may rely on the numbers.
enum class ExitCode {
    Ok = 0,
    /// A fault, a difference, a spent budget, or an answer that is not whole.
    Finding = 1,
    /// Wrong arguments, or a file that can not be read or used.
    Usage = 2,
    /// At least one process did not answer.
    Unreachable = 3,
};

} // namespace oleander
