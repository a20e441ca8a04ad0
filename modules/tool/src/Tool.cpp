#include "commands/Commands.h"

#include <oleander/tool/Tool.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace oleander {

namespace {

struct Command
{
    std::string_view name;
    std::string_view summary;
    ExitCode (*run)(const std::vector<std::string> &arguments, Terminal &terminal,
                    const OperatorFormat *format);
};

/// For a command that reads no documents of a platform.
template <ExitCode (*run)(const std::vector<std::string> &, Terminal &)>
ExitCode withoutFormat(const std::vector<std::string> &arguments, Terminal &terminal,
                       const OperatorFormat *)
{
    return run(arguments, terminal);
}

constexpr std::array commands{
    Command{"check", "check files before they are published", runCheck},
    Command{"diff", "show what a change of the configuration touches", runDiff},
    Command{"explain", "show what is in force for a subject, and why", withoutFormat<runExplain>},
    Command{"query", "send one query to a daemon", withoutFormat<runQuery>},
    Command{"status", "show one table over all daemons", withoutFormat<runStatus>},
    Command{"burn", "report how much of the service-level budgets is burnt",
            withoutFormat<runBurn>},
    Command{"trace", "tell the story of a request from the logs of gateways",
            withoutFormat<runTrace>},
};

void writeHelp(std::ostream &out)
{
    out << "Usage: oleanderctl COMMAND [OPTION...]\n\n";
    for (const Command &command : commands) {
        const std::string name(command.name);
        out << "  " << name << std::string(10 - name.size(), ' ') << command.summary << '\n';
    }
    out << "\nEach command has --help and --json.\n"
           "Exit codes: 0 all is well, 1 a finding, 2 wrong arguments or files, 3 a process did "
           "not answer.\n";
}

} // namespace

ExitCode runTool(const std::vector<std::string> &arguments, Terminal &terminal,
                 const OperatorFormat *format)
{
    if (arguments.empty()) {
        writeHelp(terminal.err);
        return ExitCode::Usage;
    }
    if (arguments.front() == "--help") {
        writeHelp(terminal.out);
        return ExitCode::Ok;
    }
    const auto command = std::ranges::find(commands, arguments.front(), &Command::name);
    if (command == commands.end()) {
        terminal.err << "oleanderctl: no command \"" << arguments.front() << "\"\n";
        writeHelp(terminal.err);
        return ExitCode::Usage;
    }
    return command->run({arguments.begin() + 1, arguments.end()}, terminal, format);
}

} // namespace oleander
