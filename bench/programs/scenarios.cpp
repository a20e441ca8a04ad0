#include <oleander/bench/Report.h>
#include <oleander/bench/Scenario.h>

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace oleander;
using namespace oleander::bench;

constexpr int exitUsage = 2;

int list(const cxxopts::ParseResult &arguments)
{
    for (const auto &run : listRuns(arguments["form"].as<std::string>() != "long"))
        std::cout << run.text() << '\n';
    return 0;
}

void addDefaults(RunName &run, const cxxopts::ParseResult &arguments)
{
    if (arguments.count("set") == 0)
        return;
    for (const auto &value : arguments["set"].as<std::vector<std::string>>()) {
        const auto equals = value.find('=');
        if (equals != std::string::npos)
            run.scenario.defaults.emplace_back(value.substr(0, equals), value.substr(equals + 1));
    }
}

int prepare(const cxxopts::ParseResult &arguments)
{
    RunSettings settings;
    settings.folder = arguments["folder"].as<std::string>();
    settings.basePort = arguments["base-port"].as<int>();
    settings.instances = arguments["instances"].as<int>();
    settings.seed = static_cast<std::uint64_t>(arguments["seed"].as<int>());
    settings.length = seconds(arguments["seconds"].as<int>());
    settings.serviceTime = Duration(arguments["service-us"].as<int>());
    Reason reason;
    auto run = runNamed(arguments["run"].as<std::string>(), reason);
    if (run)
        addDefaults(*run, arguments);
    if (run && prepareRun(*run, settings, reason))
        return 0;
    std::cerr << "scenarios: " << reason.text << '\n';
    return 1;
}

std::string contentOf(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int report(const cxxopts::ParseResult &arguments)
{
    ReportHeader header;
    header.machine = arguments["machine"].as<std::string>();
    header.commit = arguments["commit"].as<std::string>();
    header.command = arguments["command"].as<std::string>();
    header.started = arguments["started"].as<std::string>();
    header.seed = std::to_string(arguments["seed"].as<int>());
    std::vector<RunFigures> runs;
    for (const auto &path : arguments.unmatched()) {
        Reason reason;
        const auto figures = figuresOf(contentOf(path), reason);
        if (figures)
            runs.push_back(*figures);
        else
            std::cerr << "scenarios: " << path << ": " << reason.text << '\n';
    }
    std::cout << reportText(header, runs);
    return 0;
}

cxxopts::Options commandLine()
{
    cxxopts::Options options("scenarios", "The table of scenarios: list, prepare or report.");
    options.allow_unrecognised_options();
    const auto text = [](const char *value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto number = [](const char *value) {
        return cxxopts::value<int>()->default_value(value);
    };
    auto add = options.add_options();
    add("task", "list, prepare or report", text(""));
    add("form", "list: short or long", text("short"));
    add("run", "prepare: customer/scenario/variant", text(""));
    add("folder", "prepare: folder to write", text(""));
    add("base-port", "prepare: first port", number("21000"));
    add("instances", "prepare: daemons", number("6"));
    add("seconds", "prepare: measured time", number("5"));
    add("service-us", "prepare: mean service time", number("5000"));
    add("set", "prepare: policy default as name=JSON; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("seed", "prepare, report: seed", number("1"));
    add("machine", "report: machine", text(""));
    add("commit", "report: commit", text(""));
    add("command", "report: command", text(""));
    add("started", "report: date", text(""));
    add("help", "prints this");
    options.parse_positional({"task"});
    options.positional_help("list|prepare|report [result files]");
    return options;
}

} // namespace

int main(int count, char **values)
{
    auto options = commandLine();
    try {
        const auto arguments = options.parse(count, values);
        const auto task = arguments["task"].as<std::string>();
        if (task == "list")
            return list(arguments);
        if (task == "prepare")
            return prepare(arguments);
        if (task == "report")
            return report(arguments);
        std::cout << options.help();
        return arguments.count("help") != 0 ? 0 : exitUsage;
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "scenarios: " << error.what() << '\n';
        return exitUsage;
    }
}
