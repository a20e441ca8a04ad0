#pragma once

#include "commands/CommandLine.h"
#include "http/HttpFetch.h"

#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// Adds the options that say which daemons to ask: `--instances`, `--platform` and `--daemon`.
void addDaemonOptions(CommandLine &line);

/// A page of one daemon, or why there is none.
struct DaemonPage
{
    /// Operator address.
    std::string address;
    /// As the list of instances names it; empty with `--daemon`.
    std::string instance;
    std::optional<std::string> body;
    std::string fault;
};

/// Pages of all daemons, or the exit code after a fault was reported.
struct DaemonPages
{
    std::vector<DaemonPage> pages;
    std::optional<ExitCode> code;
};

/// Reads one page from every daemon that the options name; shows progress when it takes long.
DaemonPages readDaemonPages(const CommandLine &line, const std::string &target, Terminal &terminal);

} // namespace oleander
