#pragma once

#include <oleander/tool/Terminal.h>

#include <cxxopts.hpp>

#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// Arguments of one command, by cxxopts, with `--help` and `--json` of every command.
class CommandLine
{
public:
    /// `usage` is what follows the command's name, for the help text; `notes` are shown below the
    /// options and tell the exit codes.
    CommandLine(std::string command, std::string summary, std::string usage, std::string notes);

    /// For adding the options of the command.
    cxxopts::OptionAdder options() { return m_options.add_options(); }
    /// Arguments without a dash are taken as `paths`.
    void takePaths();

    /// Reads the arguments. Returns an exit code when there is nothing left to do: after `--help`,
    /// or after a fault was reported.
    std::optional<ExitCode> parse(const std::vector<std::string> &arguments, Terminal &terminal);

    // After parse()
    [[nodiscard]] bool isJson() const { return m_result.count("json") > 0; }
    [[nodiscard]] bool has(const std::string &name) const { return m_result.count(name) > 0; }
    /// The option's text, or its default, or an empty one.
    [[nodiscard]] std::string text(const std::string &name) const;
    [[nodiscard]] std::vector<std::string> texts(const std::string &name) const;
    [[nodiscard]] std::int64_t number(const std::string &name) const;

    /// Reports a fault of the arguments.
    ExitCode refuse(Terminal &terminal, const std::string &why) const;

private:
    std::string m_command;
    std::string m_notes;
    cxxopts::Options m_options;
    cxxopts::ParseResult m_result;
};

} // namespace oleander
