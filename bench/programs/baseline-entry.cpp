#include "../src/Asio.h"

#include <oleander/adapters/callers/CallerServer.h>
#include <oleander/adapters/operators/OperatorServer.h>
#include <oleander/adapters/servers/AsioServerNetwork.h>
#include <oleander/adapters/time/AsioTimerService.h>
#include <oleander/adapters/time/SeededRandom.h>
#include <oleander/bench/UnmanagedEntry.h>
#include <oleander/ports/EventLog.h>
#include <oleander/settings/DaemonSettings.h>
#include <oleander/settings/PartitionMapParser.h>

#include <cxxopts.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace oleander;

constexpr int exitUsage = 2;
/// Of a server's cap of 50 or 60, for at most ten entries.
constexpr int connectionsPerServer = 5;

class NoLog final : public EventLog
{
public:
    void record(EventId, const RequestId &, std::string_view) override {}
};

std::string contentOf(const std::filesystem::path &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The first partition map of the folder.
std::optional<PartitionMap> mapOf(const std::string &folder, Reason &reason)
{
    std::error_code error;
    const auto maps = std::filesystem::path(folder) / "partitions";
    for (const auto &entry : std::filesystem::directory_iterator(maps, error))
        return parsePartitionMap(contentOf(entry.path()), SectionVersion(1), reason);
    reason.set(ErrorKind::BadRequest, maps.string() + ": no partition map");
    return std::nullopt;
}

int serve(const DaemonSettings &settings, PartitionMap map, std::uint64_t seed, Reason &reason)
{
    boost::asio::io_context context(1);
    AsioTimerService timers(context);
    AsioServerNetwork servers(context, {});
    SeededRandom random(seed);
    NoLog log;
    bench::UnmanagedEntry entry({timers, servers, random}, std::move(map), connectionsPerServer);
    CallerServer callers(context, entry, log);
    OperatorServer operators(context);
    operators.addPage("/readyz", [](const std::string &) { return OperatorPage{}; });
    if (!callers.listen(settings.callerAddress, reason)
        || !operators.listen(settings.operatorAddress, reason))
        return 1;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const auto &, int) { context.stop(); });
    context.run();
    return 0;
}

int run(const cxxopts::ParseResult &arguments)
{
    Reason reason;
    const auto settings =
        parseDaemonSettings(contentOf(arguments["settings"].as<std::string>()), reason);
    auto map = settings ? mapOf(arguments["folder"].as<std::string>(), reason) : std::nullopt;
    const auto seed = static_cast<std::uint64_t>(arguments["seed"].as<int>());
    if (map && serve(*settings, std::move(*map), seed, reason) == 0)
        return 0;
    std::cerr << "baseline-entry: " << reason.text << '\n';
    return 1;
}

} // namespace

int main(int count, char **values)
{
    cxxopts::Options options("baseline-entry", "An entry without policy, to compare with.");
    auto add = options.add_options();
    add("settings", "settings file, as oleanderwayd takes it", cxxopts::value<std::string>());
    add("folder", "folder with partitions/<service>.json", cxxopts::value<std::string>());
    add("seed", "seed of the choice of replicas", cxxopts::value<int>()->default_value("1"));
    add("help", "prints this");
    try {
        const auto arguments = options.parse(count, values);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "baseline-entry: " << error.what() << '\n';
        return exitUsage;
    }
}
