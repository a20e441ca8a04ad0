#include <oleander/bench/LoadRun.h>

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace oleander;
using namespace oleander::bench;

constexpr int exitUsage = 2;
constexpr int exitUntrue = 3;

std::string contentOf(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool isClean(const LoadResult &result)
{
    for (const auto &byClass : result.classes) {
        if (!byClass.faults.empty())
            return false;
    }
    return result.untrueNotRun == 0;
}

int run(const cxxopts::ParseResult &arguments)
{
    Reason reason;
    const auto plan = parseLoadPlan(contentOf(arguments["plan"].as<std::string>()), reason);
    const auto result = plan ? runLoad(*plan, reason) : std::nullopt;
    if (!result) {
        std::cerr << "load: " << reason.text << '\n';
        return 1;
    }
    std::cerr << loadResultSummary(*plan, *result);
    const auto text = loadResultText(*plan, *result);
    if (arguments.count("out") != 0)
        std::ofstream(arguments["out"].as<std::string>()) << text << '\n';
    else
        std::cout << text << '\n';
    return isClean(*result) ? 0 : exitUntrue;
}

} // namespace

int main(int count, char **values)
{
    cxxopts::Options options("load", "Open-loop load on daemons, with every answer checked.");
    auto add = options.add_options();
    add("plan", "file with the load plan (JSON)", cxxopts::value<std::string>());
    add("out", "file for the result (JSON); standard output when absent",
        cxxopts::value<std::string>());
    add("help", "prints this");
    try {
        const auto arguments = options.parse(count, values);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "load: " << error.what() << '\n';
        return exitUsage;
    }
}
