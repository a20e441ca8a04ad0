#pragma once

#include <oleander/tool/OperatorFormat.h>
#include <oleander/tool/Terminal.h>

#include <string>
#include <vector>

namespace oleander {

// One function a command; `arguments` are those behind the command's name. `format` may be null.

ExitCode runCheck(const std::vector<std::string> &arguments, Terminal &terminal,
                  const OperatorFormat *format);
ExitCode runDiff(const std::vector<std::string> &arguments, Terminal &terminal,
                 const OperatorFormat *format);
ExitCode runExplain(const std::vector<std::string> &arguments, Terminal &terminal);
ExitCode runQuery(const std::vector<std::string> &arguments, Terminal &terminal);
ExitCode runStatus(const std::vector<std::string> &arguments, Terminal &terminal);
ExitCode runTrace(const std::vector<std::string> &arguments, Terminal &terminal);
ExitCode runBurn(const std::vector<std::string> &arguments, Terminal &terminal);

} // namespace oleander
