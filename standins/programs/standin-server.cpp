#include "../src/Asio.h"

#include <oleander/standins/ServerFleet.h>

#include <cxxopts.hpp>

#include <iostream>

namespace {

using oleander::Duration;
using oleander::standins::ServerShape;

constexpr int exitUsage = 2;

cxxopts::Options commandLine()
{
    cxxopts::Options options("standin-server", "Stand-ins of backend servers, many in a process.");
    const auto number = [](const char *text) { return cxxopts::value<int>()->default_value(text); };
    auto add = options.add_options();
    add("folder", "folder with partitions/<service>.json", cxxopts::value<std::string>());
    add("admin", "loopback ip:port for tests",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("threads", "threads that the servers share", number("2"));
    add("service-us", "mean service time in microseconds", number("5000"));
    add("stragglers", "stragglers per thousand requests", number("0"));
    add("straggler-factor", "how much longer a straggler takes", number("10"));
    add("queue", "requests that may wait for a slot", number("64"));
    add("connection-us", "cost of a new connection in microseconds", number("0"));
    add("network-us", "one-way network delay in microseconds", number("0"));
    add("cold-ms", "time of a cold start in milliseconds", number("0"));
    add("cold-factor", "how much slower a cold server is", number("4"));
    add("documents", "documents in each shard", number("3"));
    add("document-bytes", "size of a document", number("64"));
    add("seed", "seed of the service times", number("1"));
    add("help", "prints this");
    return options;
}

ServerShape shapeOf(const cxxopts::ParseResult &arguments)
{
    const auto number = [&](const char *name) { return arguments[name].as<int>(); };
    ServerShape shape;
    shape.serviceTime = Duration(number("service-us"));
    shape.stragglerShare.value = static_cast<std::uint32_t>(number("stragglers"));
    shape.stragglerFactor = number("straggler-factor");
    shape.queueLimit = static_cast<std::size_t>(number("queue"));
    shape.connectionCost = Duration(number("connection-us"));
    shape.networkDelay = Duration(number("network-us"));
    shape.coldTime = oleander::milliseconds(number("cold-ms"));
    shape.coldFactor = number("cold-factor");
    shape.documentsPerShard = number("documents");
    shape.documentBytes = static_cast<std::size_t>(number("document-bytes"));
    shape.seed = static_cast<std::uint64_t>(number("seed"));
    return shape;
}

int run(const cxxopts::ParseResult &arguments)
{
    oleander::standins::ServerFleet fleet(shapeOf(arguments), arguments["threads"].as<int>());
    oleander::Reason reason;
    const auto started = fleet.addFolder(arguments["folder"].as<std::string>(), reason);
    const auto admin =
        started ? fleet.listenAdmin(arguments["admin"].as<std::string>(), reason) : std::nullopt;
    if (!admin) {
        std::cerr << "standin-server: " << reason.text << '\n';
        return 1;
    }
    std::cout << "standin-server: " << *started << " servers, admin on port " << *admin
              << std::endl;
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const auto &, int) { context.stop(); });
    context.run();
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
        std::cerr << "standin-server: " << error.what() << '\n';
        return exitUsage;
    }
}
