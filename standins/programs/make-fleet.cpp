#include <oleander/standins/FleetFiles.h>

#include <cxxopts.hpp>

#include <iostream>

namespace {

using oleander::standins::FleetPorts;
using oleander::standins::FleetShape;

constexpr int exitUsage = 2;

cxxopts::Options commandLine()
{
    cxxopts::Options options("make-fleet",
                             "Writes published values and daemon settings of a fleet on loopback.");
    auto add = options.add_options();
    add("fleet", "demo, amms or fotolector", cxxopts::value<std::string>()->default_value("demo"));
    add("folder", "folder to write", cxxopts::value<std::string>());
    add("instances", "daemons", cxxopts::value<int>());
    add("workers", "worker threads of a daemon", cxxopts::value<int>()->default_value("1"));
    add("base-port", "first port", cxxopts::value<int>()->default_value("21000"));
    add("snapshot", "snapshot of every service", cxxopts::value<int>()->default_value("1"));
    add("services", "only these services, by name; all when absent",
        cxxopts::value<std::vector<std::string>>());
    add("set", "policy default as name=JSON; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("help", "prints this");
    return options;
}

void keepServices(FleetShape &shape, const std::vector<std::string> &names)
{
    std::erase_if(shape.services, [&](const auto &service) {
        return std::find(names.begin(), names.end(), service.service) == names.end();
    });
}

void setDefaults(FleetShape &shape, const std::vector<std::string> &values)
{
    for (const auto &value : values) {
        const auto equals = value.find('=');
        if (equals != std::string::npos)
            shape.defaults[value.substr(0, equals)] = value.substr(equals + 1);
    }
}

int run(const cxxopts::ParseResult &arguments)
{
    oleander::Reason reason;
    auto shape = oleander::standins::fleetNamed(arguments["fleet"].as<std::string>(), reason);
    if (shape) {
        if (arguments.count("instances") != 0)
            shape->instances = arguments["instances"].as<int>();
        shape->workerThreads = arguments["workers"].as<int>();
        shape->basePort = arguments["base-port"].as<int>();
        shape->snapshot = static_cast<std::uint64_t>(arguments["snapshot"].as<int>());
        if (arguments.count("services") != 0)
            keepServices(*shape, arguments["services"].as<std::vector<std::string>>());
        if (arguments.count("set") != 0)
            setDefaults(*shape, arguments["set"].as<std::vector<std::string>>());
    }
    const auto servers =
        shape ? writeFleet(*shape, arguments["folder"].as<std::string>(), reason) : std::nullopt;
    if (!servers) {
        std::cerr << "make-fleet: " << reason.text << '\n';
        return 1;
    }
    const FleetPorts ports{shape->basePort};
    std::cout << "make-fleet: " << *servers << " servers, " << shape->instances
              << " instances, callers from port " << ports.caller(0) << ", platform on port "
              << ports.platform() << '\n';
    return 0;
}

} // namespace

int main(int count, char **values)
{
    auto options = commandLine();
    try {
        const auto arguments = options.parse(count, values);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "make-fleet: " << error.what() << '\n';
        return exitUsage;
    }
}
