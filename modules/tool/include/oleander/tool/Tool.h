#pragma once

#include <oleander/tool/Terminal.h>

#include <string>
#include <vector>

namespace oleander {

/// Runs oleanderctl: the first argument names the command, the rest belongs to it. Writes to the
/// terminal only; reads files and asks daemons as the command says.
ExitCode runTool(const std::vector<std::string> &arguments, Terminal &terminal);

} // namespace oleander
