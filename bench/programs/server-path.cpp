#include <oleander/bench/AdapterPath.h>
#include <oleander/bench/CoordinatorPath.h>

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <vector>

namespace {

using namespace oleander;
using namespace oleander::bench;

constexpr int exitUsage = 2;

void print(const char *form, const PathRate &rate)
{
    std::printf("%-11s %9.0f exchanges/s  %6.2f us processor each\n", form, rate.perSecond(),
                rate.processorMicros());
}

PathRate median(std::vector<PathRate> rates)
{
    std::sort(rates.begin(), rates.end(), [](const PathRate &left, const PathRate &right) {
        return left.perSecond() < right.perSecond();
    });
    return rates[rates.size() / 2];
}

void compare(const char *form, const PathRate &rate, const PathRate &bare)
{
    std::printf("median: %s at %.2f of bare by rate, %.2f by processor time\n", form,
                rate.perSecond() / bare.perSecond(),
                bare.processorMicros() / rate.processorMicros());
}

int run(const cxxopts::ParseResult &arguments)
{
    AdapterPathShape shape;
    shape.connections = arguments["connections"].as<int>();
    shape.serverThreads = arguments["server-threads"].as<int>();
    const auto sizes = sizesOf(shape);
    const auto length = seconds(arguments["seconds"].as<int>());
    std::printf("%zu bytes a request, %zu a reply, %d connections\n", sizes.requestBytes,
                sizes.replyBytes, sizes.connections);
    std::vector<PathRate> bare;
    std::vector<PathRate> adapter;
    std::vector<PathRate> coordinator;
    for (int round = 0; round < arguments["rounds"].as<int>(); ++round) {
        bare.push_back(runBarePath(sizes, length));
        print("bare", bare.back());
        adapter.push_back(runAdapterPath(shape, length));
        print("adapter", adapter.back());
        coordinator.push_back(runCoordinatorPath(shape, arguments["queries"].as<int>(), length));
        print("coordinator", coordinator.back());
    }
    const auto bareMedian = median(bare);
    compare("adapter", median(adapter), bareMedian);
    compare("coordinator", median(coordinator), bareMedian);
    return 0;
}

} // namespace

int main(int count, char **values)
{
    cxxopts::Options options("server-path",
                             "One thread towards backend servers, against bare Asio.");
    auto add = options.add_options();
    add("connections", "connections", cxxopts::value<int>()->default_value("64"));
    add("server-threads", "threads of the other side", cxxopts::value<int>()->default_value("3"));
    add("queries", "queries under way", cxxopts::value<int>()->default_value("3"));
    add("seconds", "length of a run", cxxopts::value<int>()->default_value("2"));
    add("rounds", "runs of each form", cxxopts::value<int>()->default_value("3"));
    add("help", "prints this");
    try {
        const auto arguments = options.parse(count, values);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "server-path: " << error.what() << '\n';
        return exitUsage;
    }
}
