#include "commands/CommandLine.h"
#include "commands/Commands.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>

namespace oleander {

namespace {

using nlohmann::ordered_json;

constexpr auto traceNotes =
    "The files hold JSON lines as gateways write them, of one or of several instances; what "
    "stands\n"
    "before a line's first brace is skipped. Shown are the lines of the request, and of the same\n"
    "instances what they had learned within the time before (--before) that can explain it.\n"
    "\nExit codes: 0 the request was found, 1 it was not, 2 wrong arguments or files.\n";

/// Events that change what an instance believes; those of requests are found by their id.
const std::set<std::string> beliefEvents{
    "DaemonStarted",
    "DaemonReady",
    "DaemonStopping",
    "DaemonStopped",
    "LateTimer",
    "SettingsReloaded",
    "LinesDropped",
    "ConfigurationAccepted",
    "ConfigurationRefused",
    "PlatformUnreachable",
    "PlatformReachable",
    "ServerDraining",
    "ServerEjected",
    "ServerSilent",
};

struct LogLine
{
    std::int64_t timeMs = 0;
    std::string instance;
    std::string name;
    std::string request;
    std::string text;
};

std::optional<LogLine> parseLine(const std::string &text)
{
    const auto brace = text.find('{');
    if (brace == std::string::npos)
        return std::nullopt;
    const ordered_json line = ordered_json::parse(text.substr(brace), nullptr, false);
    if (!line.is_object() || !line.contains("timeMs") || !line.contains("name"))
        return std::nullopt;
    LogLine read;
    read.timeMs = line.value("timeMs", std::int64_t{0});
    read.instance = line.value("instance", "");
    read.name = line.value("name", "");
    read.request = line.value("request", "");
    for (const auto &[key, value] : line.items()) {
        if (key != "timeMs" && key != "instance" && key != "name" && key != "request"
            && key != "event")
            read.text +=
                " " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return read;
}

/// The lines of the request, and those before it that show what its instances believed.
std::vector<LogLine> storyOf(const std::string &request, const std::vector<LogLine> &lines,
                             std::int64_t beforeMs)
{
    std::set<std::string> instances;
    std::int64_t first = INT64_MAX;
    std::int64_t last = INT64_MIN;
    for (const LogLine &line : lines) {
        if (line.request != request)
            continue;
        instances.insert(line.instance);
        first = std::min(first, line.timeMs);
        last = std::max(last, line.timeMs);
    }
    std::vector<LogLine> story;
    for (const LogLine &line : lines) {
        const bool isBelief = line.request.empty() && beliefEvents.contains(line.name)
                              && instances.contains(line.instance)
                              && line.timeMs >= first - beforeMs && line.timeMs <= last;
        if (line.request == request || isBelief)
            story.push_back(line);
    }
    std::ranges::stable_sort(story, {}, &LogLine::timeMs);
    return story;
}

} // namespace

ExitCode runTrace(const std::vector<std::string> &arguments, Terminal &terminal)
{
    CommandLine line("trace", "Tells the story of a request from the logs of gateways.",
                     "REQUEST FILE... [OPTION...]", traceNotes);
    line.takePaths();
    line.options()("before", "time before the request whose events are shown, in seconds",
                   cxxopts::value<std::int64_t>()->default_value("5"));
    if (const auto code = line.parse(arguments, terminal))
        return *code;
    const std::vector<std::string> words = line.texts("paths");
    if (words.size() < 2)
        return line.refuse(terminal, "a request's id and a file are needed");
    std::vector<LogLine> lines;
    for (std::size_t index = 1; index < words.size(); ++index) {
        std::ifstream file(words[index]);
        if (!file)
            return line.refuse(terminal, words[index] + ": can not be read");
        for (std::string text; std::getline(file, text);) {
            if (auto read = parseLine(text))
                lines.push_back(std::move(*read));
        }
    }
    constexpr std::int64_t msPerSecond = 1000;
    const auto story = storyOf(words.front(), lines, line.number("before") * msPerSecond);
    if (story.empty()) {
        terminal.err << "oleanderctl: no line of request " << words.front() << '\n';
        return ExitCode::Finding;
    }
    for (const LogLine &told : story) {
        if (line.isJson()) {
            terminal.out << ordered_json{{"timeMs", told.timeMs},
                                         {"instance", told.instance},
                                         {"name", told.name},
                                         {"request", told.request},
                                         {"fields", told.text}}
                                .dump()
                         << '\n';
        } else {
            terminal.out << told.timeMs << ' ' << told.instance
                         << (told.request.empty() ? "   (" : " > ") << told.name
                         << (told.request.empty() ? ")" : "") << told.text << '\n';
        }
    }
    return ExitCode::Ok;
}

} // namespace oleander
