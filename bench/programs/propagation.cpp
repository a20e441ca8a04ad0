#include <oleander/bench/AdminClient.h>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <thread>

namespace {

using namespace oleander;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int exitUsage = 2;
constexpr auto longestWait = std::chrono::seconds(20);

struct Fleet
{
    std::string host = "127.0.0.1:";
    int platformAdmin = 0;
    int firstOperator = 0;
    int instances = 0;

    [[nodiscard]] std::string operatorAddress(int instance) const
    {
        return host + std::to_string(firstOperator + instance);
    }
};

/// The configuration version in force at a daemon; zero when it does not answer.
std::uint64_t versionAt(const Fleet &fleet, int instance)
{
    Reason reason;
    const auto text =
        bench::adminCall(fleet.operatorAddress(instance), "GET", "/status", "", reason);
    const auto status = json::parse(text.value_or(""), nullptr, false);
    return status.is_object() ? status.value("configuration", std::uint64_t{0}) : 0;
}

bool post(const Fleet &fleet, const std::string &method, const std::string &target,
          const std::string &body)
{
    Reason reason;
    const auto address = fleet.host + std::to_string(fleet.platformAdmin);
    if (bench::adminCall(address, method, target, body, reason))
        return true;
    std::cerr << "propagation: " << reason.text << '\n';
    return false;
}

/// Milliseconds from the change until each daemon has it; negative when one never had.
double waitForAll(const Fleet &fleet, std::uint64_t version, Clock::time_point changed)
{
    for (int instance = 0; instance < fleet.instances; ++instance) {
        while (versionAt(fleet, instance) < version) {
            if (Clock::now() - changed > longestWait)
                return -1;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }
    return std::chrono::duration<double, std::milli>(Clock::now() - changed).count();
}

/// Waits until one daemon has the version, then takes the service down.
void takeDownAfterFirst(const Fleet &fleet, std::uint64_t version, Clock::time_point changed)
{
    while (Clock::now() - changed < longestWait) {
        for (int instance = 0; instance < fleet.instances; ++instance) {
            if (versionAt(fleet, instance) < version)
                continue;
            post(fleet, "POST", "/switch?down=1", "");
            return;
        }
    }
}

int run(const cxxopts::ParseResult &arguments)
{
    Fleet fleet;
    fleet.platformAdmin = arguments["platform-admin"].as<int>();
    fleet.firstOperator = arguments["first-operator"].as<int>();
    fleet.instances = arguments["instances"].as<int>();
    const bool isDown = arguments.count("down") != 0;
    const auto fleetName = arguments["fleet"].as<std::string>();
    const auto before = versionAt(fleet, 0);
    constexpr int tailMs = 50;
    const json config{{"fleet", fleetName},
                      {"defaults", {{"tailLimitMs", tailMs + static_cast<int>(before)}}},
                      {"exceptions", json::array()}};
    const auto changed = Clock::now();
    if (!post(fleet, "PUT", "/values/config", config.dump()))
        return 1;
    if (isDown)
        takeDownAfterFirst(fleet, before + 1, changed);
    const double slowest = waitForAll(fleet, before + 1, changed);
    if (isDown)
        post(fleet, "POST", "/switch?down=0", "");
    std::printf("%s%.0f ms until all %d daemons have version %lu\n",
                isDown ? "service down after the first: " : "", slowest, fleet.instances,
                before + 1);
    return slowest < 0 ? 1 : 0;
}

} // namespace

int main(int count, char **values)
{
    cxxopts::Options options("propagation",
                             "Changes the configuration and waits until every daemon has it.");
    auto add = options.add_options();
    add("platform-admin", "port of the stand-in's admin address", cxxopts::value<int>());
    add("first-operator", "port of the first daemon's operator address", cxxopts::value<int>());
    add("instances", "daemons", cxxopts::value<int>());
    add("fleet", "name of the fleet", cxxopts::value<std::string>()->default_value("demo"));
    add("down", "takes the service down once the first daemon has the change");
    add("help", "prints this");
    try {
        const auto arguments = options.parse(count, values);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "propagation: " << error.what() << '\n';
        return exitUsage;
    }
}
