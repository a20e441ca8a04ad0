#include "../src/Asio.h"

#include <oleander/standins/ConfigStandin.h>

#include <cxxopts.hpp>

#include <iostream>

namespace {

constexpr int exitUsage = 2;

cxxopts::Options commandLine()
{
    cxxopts::Options options("standin-config", "Stand-in of the platform's configuration service.");
    options.add_options()("folder",
                          "folder with config.json, instances.json, services.json, "
                          "partitions/<service>.json",
                          cxxopts::value<std::string>());
    options.add_options()("listen", "loopback ip:port for readers",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("admin", "loopback ip:port for tests",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("help", "prints this");
    return options;
}

int run(const cxxopts::ParseResult &arguments)
{
    boost::asio::io_context context(1);
    oleander::standins::ConfigStandin service(context);
    oleander::Reason reason;
    const auto loaded = service.load(arguments["folder"].as<std::string>(), reason);
    const auto port =
        loaded ? service.listen(arguments["listen"].as<std::string>(), reason) : std::nullopt;
    const auto admin =
        port ? service.listenAdmin(arguments["admin"].as<std::string>(), reason) : std::nullopt;
    if (!admin) {
        std::cerr << "standin-config: " << reason.text << '\n';
        return 1;
    }
    std::cout << "standin-config: readers on port " << *port << ", admin on port " << *admin
              << std::endl;
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
        std::cerr << "standin-config: " << error.what() << '\n';
        return exitUsage;
    }
}
