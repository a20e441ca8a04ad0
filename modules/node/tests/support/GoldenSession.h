#pragma once

#include <optional>
#include <string>

namespace oleander::fakes {

/// The line of a session file that separates the inputs from the outcome.
constexpr const char *outcomeSeparator = "--- outcome";

/// Runs the inputs of a session file and returns the expected content of the file: the inputs, then
/// every send, reply and answer in virtual time, then the result of the checks. Returns nothing and
/// sets `reason` if an input line is invalid. docs/promises.md describes the format.
std::optional<std::string> replaySession(const std::string &file, std::string &reason);

} // namespace oleander::fakes
