#pragma once

#include "commands/CommandLine.h"

#include <oleander/core/Policy.h>

#include <optional>
#include <string>

namespace oleander {

/// A configuration, or the exit code after its absence was reported.
struct PolicySource
{
    std::optional<PolicySet> set;
    ExitCode code = ExitCode::Ok;
};

/// Reads and checks a configuration file. All faults go to the terminal.
PolicySource policiesFromFile(const CommandLine &line, const std::string &path, Terminal &terminal);

/// Reads and checks what the platform publishes as `config`.
PolicySource policiesFromPlatform(const CommandLine &line, const std::string &address,
                                  Terminal &terminal);

} // namespace oleander
