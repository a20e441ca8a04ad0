#include "commands/CommandLine.h"

namespace oleander {

CommandLine::CommandLine(std::string command, std::string summary, std::string usage,
                         std::string notes)
    : m_command(std::move(command))
    , m_notes(std::move(notes))
    , m_options("oleanderctl " + m_command, std::move(summary))
{
    m_options.custom_help(std::move(usage));
    options()("help", "print this")("json", "write JSON");
}

void CommandLine::takePaths()
{
    options()("paths", "files and folders", cxxopts::value<std::vector<std::string>>());
    m_options.parse_positional({"paths"});
    m_options.positional_help("");
}

std::optional<ExitCode> CommandLine::parse(const std::vector<std::string> &arguments,
                                           Terminal &terminal)
{
    std::vector<const char *> values{m_command.c_str()};
    for (const std::string &argument : arguments)
        values.push_back(argument.c_str());
    try {
        m_result = m_options.parse(static_cast<int>(values.size()), values.data());
        // Reads each number once, so that a bad one is reported here.
        for (const auto &argument : m_result.arguments()) {
            if (argument.key().ends_with("-ms") || argument.key().ends_with("-mb")
                || argument.key() == "limit")
                static_cast<void>(number(argument.key()));
        }
    } catch (const cxxopts::exceptions::exception &error) {
        return refuse(terminal, error.what());
    }
    if (has("help")) {
        terminal.out << m_options.help() << '\n' << m_notes;
        return ExitCode::Ok;
    }
    return std::nullopt;
}

std::string CommandLine::text(const std::string &name) const
{
    const cxxopts::OptionValue &value = m_result[name];
    return has(name) || value.has_default() ? value.as<std::string>() : std::string();
}

std::vector<std::string> CommandLine::texts(const std::string &name) const
{
    return has(name) ? m_result[name].as<std::vector<std::string>>() : std::vector<std::string>();
}

std::int64_t CommandLine::number(const std::string &name) const
{
    return m_result[name].as<std::int64_t>();
}

ExitCode CommandLine::refuse(Terminal &terminal, const std::string &why) const
{
    terminal.err << "oleanderctl " << m_command << ": " << why << "\n"
                 << "Try: oleanderctl " << m_command << " --help\n";
    return ExitCode::Usage;
}

} // namespace oleander
