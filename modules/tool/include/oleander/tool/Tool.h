#pragma once

#include <oleander/tool/OperatorFormat.h>
#include <oleander/tool/Terminal.h>

#include <string>
#include <vector>

namespace oleander {

/// Runs oleanderctl: the first argument names the command, the rest belongs to it. Writes to the
/// terminal only; reads files and asks daemons as the command says. The format is that of the
/// platform whose documents `check` and `diff` read; null for none.
ExitCode runTool(const std::vector<std::string> &arguments, Terminal &terminal,
                 const OperatorFormat *format = nullptr);

} // namespace oleander
