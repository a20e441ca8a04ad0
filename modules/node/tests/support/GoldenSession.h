#pragma once

#include <optional>
#include <string>

namespace oleander::fakes {

/// The line of a session file that separates the inputs from the outcome.
constexpr const char *outcomeMark = "--- outcome";

/// Runs the inputs of a session file and returns the whole file as it should be: the inputs, then
/// every send, reply and answer in virtual time, then the judge's verdict. Nothing, with a reason,
/// when an input line can not be read. docs/promises.md describes the lines.
std::optional<std::string> replaySession(const std::string &file, std::string &reason);

} // namespace oleander::fakes
