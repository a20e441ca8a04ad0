#include "ControlMeasure.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <iostream>
#include <vector>

namespace {

using namespace oleander;
using namespace oleander::bench;
using oleander::testing::ControlHost;

constexpr int exitUsage = 2;
constexpr Duration readyLimit = seconds(60);
constexpr Duration convergenceLimit = seconds(30);
constexpr Duration steadySpan = seconds(120);
constexpr Duration burstSpan = seconds(30);
constexpr Duration splitSpan = seconds(120);
constexpr int changeRounds = 14;
constexpr int daemonsInRack = 34;

void printSpan(int daemons, const char *what, const SpanFigures &figures)
{
    const double perDaemon = 1.0 / daemons / figures.seconds;
    std::printf("%5d | %-22s | platform %7.1f calls/s, peak %5.0f | messages %6.2f/s a daemon, "
                "peak %6.2f | bytes in and out %7.0f/s a daemon, peak %7.0f | processor %6.3f %% "
                "of a core a daemon\n",
                daemons, what, figures.platformCalls / figures.seconds, figures.platformPeak,
                figures.messages * perDaemon, figures.messagePeak / daemons,
                2 * figures.bytes * perDaemon, 2 * figures.bytePeak / daemons,
                100 * figures.processorSeconds * perDaemon);
    std::fflush(stdout);
}

void printConvergence(int daemons, const char *what, const ConvergenceFigures &figures)
{
    std::printf("%5d | %-22s | first %6.1f ms, half %6.1f ms, all %7.1f ms%s\n", daemons, what,
                inMilliseconds(figures.first), inMilliseconds(figures.half),
                inMilliseconds(figures.all), figures.isWhole ? "" : " NOT WHOLE");
    std::fflush(stdout);
}

auto holdsConfig(SectionVersion version)
{
    return [version](const ControlHost &host) { return host.configVersion() == version; };
}

auto holdsInstances(SectionVersion version)
{
    return [version](const ControlHost &host) {
        return host.view && host.view->instances->version == version;
    };
}

bool isReady(const ControlHost &host)
{
    return host.node->isReady();
}

/// Says what hinders the first daemon that is not ready.
void explainNotReady(const ControlWorld &world)
{
    for (const auto &[id, host] : world.hosts) {
        const ControlStatus status = host->node->status();
        if (status.isReady)
            continue;
        std::printf("      %s: %s\n", id.text().c_str(), status.notReadyReason.c_str());
        for (const SectionStatus &section : status.sections)
            std::printf("      %s %s\n", section.summary.name.c_str(),
                        section.refusedReason.c_str());
        return;
    }
}

/// The fleet's start, its memory and its steady state.
void measureSteady(ControlWorld &world, int daemons)
{
    const std::size_t before = heapBytes();
    world.startAll();
    const auto calls = world.platform.calls;
    printConvergence(daemons, "start of all", measureConvergence(world, isReady, readyLimit));
    explainNotReady(world);
    std::printf("%5d | start of all           | platform calls %llu\n", daemons,
                static_cast<unsigned long long>(world.platform.calls - calls));
    world.scheduler.runFor(seconds(60));
    std::printf("%5d | memory                 | %.2f MB of heap a daemon\n", daemons,
                static_cast<double>(heapBytes() - before) / daemons / 1e6);
    printSpan(daemons, "steady", measureSpan(world, steadySpan));
    std::printf("%5d | steady                 | watches waiting %zu\n", daemons,
                world.platform.waiting());
}

/// Changes of the configuration, each until all hold it. In the second half of the rounds only one
/// data centre's reader gets the change, and the platform is down from then on.
void measureChanges(ControlWorld &world, int daemons)
{
    Duration worst{};
    Duration worstHalf{};
    Duration worstDown{};
    const auto messages = world.network.messages;
    const auto bytes = world.network.bytes;
    for (int round = 0; round < changeRounds; ++round) {
        const bool goesDown = round >= changeRounds / 2;
        const DataCentreId last("dc-" + std::to_string(round % 7));
        if (goesDown) {
            world.platform.setReachableBy(
                [last](const Instance &reader) { return reader.dataCentre == last; });
        }
        const auto version = world.publishConfig();
        const auto holds = holdsConfig(version);
        if (goesDown) {
            world.scheduler.runUntil(
                [&] {
                    return std::ranges::any_of(
                        world.hosts, [&](const auto &item) { return holds(*item.second); });
                },
                convergenceLimit);
            world.platform.setDown(true);
        }
        const auto figures = measureConvergence(world, holds, convergenceLimit);
        (goesDown ? worstDown : worst) = std::max(goesDown ? worstDown : worst, figures.all);
        worstHalf = std::max(worstHalf, figures.half);
        world.platform.setDown(false);
        world.platform.setReachableBy({});
        world.scheduler.runFor(seconds(3));
    }
    std::printf("%5d | %d changes             | half %6.1f ms, all %7.1f ms; platform down after "
                "the first reader: all %7.1f ms (worst) | text %zu bytes\n",
                daemons, changeRounds, inMilliseconds(worstHalf), inMilliseconds(worst),
                inMilliseconds(worstDown), world.bytesOf("config"));
    std::printf("%5d | a change, 3 s          | messages %.1f a daemon, bytes in and out %.0f a "
                "daemon\n",
                daemons,
                static_cast<double>(world.network.messages - messages) / changeRounds / daemons,
                2.0 * static_cast<double>(world.network.bytes - bytes) / changeRounds / daemons);
}

/// One instance says it leaves, is listed so, goes, and another comes.
void measureReplacement(ControlWorld &world, int daemons)
{
    const auto old = world.hosts.begin()->second->instance;
    world.hosts.begin()->second->node->beginStop();
    auto list = world.listed();
    list.front().isLeaving = true;
    world.publishInstances(list);
    world.scheduler.runFor(seconds(5));
    world.kill(old.id);
    list.front() = old;
    list.front().id = InstanceId("daemon-new");
    list.front().peerAddress = "10.9.9.9:7000";
    ControlHost &fresh = world.start(list.front());
    const TimePoint begin = world.scheduler.now();
    world.publishInstances(list);
    world.scheduler.runUntil([&] { return fresh.node->isReady(); }, readyLimit);
    std::printf("%5d | replacement            | new daemon ready after %.0f ms, read %.2f MB from "
                "peers, %.3f MB from the platform | list %zu bytes, map %zu bytes\n",
                daemons, inMilliseconds(world.scheduler.now() - begin),
                static_cast<double>(fresh.node->status().counters.bytesFromPeers) / 1e6,
                static_cast<double>(fresh.node->status().counters.bytesFromPlatform) / 1e6,
                world.bytesOf("instances"), world.bytesOf("partitions"));
    printSpan(daemons, "after a replacement", measureSpan(world, burstSpan));
}

/// Kills daemons at once, lists them as gone half a minute later, and starts them again.
void measureLoss(ControlWorld &world, int daemons, const char *what,
                 const std::vector<InstanceId> &lost)
{
    std::vector<Instance> instances;
    for (const InstanceId &id : lost) {
        instances.push_back(world.hosts.at(id)->instance);
        world.kill(id);
    }
    printSpan(daemons, what, measureSpan(world, burstSpan));
    printConvergence(
        daemons, "change while lost",
        measureConvergence(world, holdsConfig(world.publishConfig()), convergenceLimit));
    const auto all = world.listed();
    auto remaining = all;
    std::erase_if(remaining, [&](const Instance &item) { return !world.hosts.contains(item.id); });
    printConvergence(daemons, "list without them",
                     measureConvergence(world, holdsInstances(world.publishInstances(remaining)),
                                        convergenceLimit));
    for (const Instance &instance : instances)
        world.start(instance);
    world.publishInstances(all);
    printSpan(daemons, "all of them started", measureSpan(world, burstSpan));
    printConvergence(daemons, "ready again", measureConvergence(world, isReady, readyLimit));
}

std::vector<InstanceId> firstIn(const ControlWorld &world, int dataCentre, int most)
{
    std::vector<InstanceId> chosen;
    const DataCentreId wanted("dc-" + std::to_string(dataCentre));
    for (const auto &[id, host] : world.hosts) {
        if (host->instance.dataCentre == wanted && static_cast<int>(chosen.size()) < most)
            chosen.push_back(id);
    }
    return chosen;
}

/// Regions lose each other; the second one reaches no platform meanwhile.
void measureSplit(ControlWorld &world, int daemons, int border)
{
    world.cutRegions(true);
    for (const auto &[id, host] : world.hosts) {
        const auto &name = host->instance.dataCentre.text();
        host->platform->setCut(name.back() - '0' >= border);
    }
    printSpan(daemons, "regions apart", measureSpan(world, splitSpan));
    const auto version = world.publishConfig();
    world.scheduler.runFor(seconds(5));
    world.cutRegions(false);
    for (const auto &[id, host] : world.hosts)
        host->platform->setCut(false);
    world.platform.setDown(true);
    printConvergence(daemons, "healed, platform down",
                     measureConvergence(world, holdsConfig(version), convergenceLimit));
    world.platform.setDown(false);
    printSpan(daemons, "after the heal", measureSpan(world, burstSpan));
}

void measureSize(int daemons, const ControlSettings &settings, bool isShort)
{
    WorldSizes sizes;
    sizes.daemons = daemons;
    ControlWorld world(sizes, static_cast<std::uint64_t>(daemons));
    world.settings.gossip = settings.gossip;
    world.settings.platform = settings.platform;
    measureSteady(world, daemons);
    measureChanges(world, daemons);
    if (isShort)
        return;
    measureReplacement(world, daemons);
    measureLoss(world, daemons, "rack lost", firstIn(world, 1, daemonsInRack * daemons / 950 + 1));
    measureLoss(world, daemons, "data centre lost", firstIn(world, 2, daemons));
    measureSplit(world, daemons, sizes.firstOfSecondRegion);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("control-slopes",
                             "Control planes of many daemons in virtual time: calls, messages, "
                             "bytes, processor and memory at several sizes.");
    options.add_options()("sizes", "daemons, one run each",
                          cxxopts::value<std::vector<int>>()->default_value("20,60,120"))(
        "local", "neighbours in the own data centre", cxxopts::value<int>()->default_value("3"))(
        "remote", "neighbours in other data centres", cxxopts::value<int>()->default_value("2"))(
        "summaries", "compare by full summaries instead of digests")(
        "readers", "least readers of a section", cxxopts::value<int>()->default_value("3"))(
        "short", "start, steady state and changes only")("help", "this text");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        ControlSettings settings;
        settings.gossip.neighbours = {given["local"].as<int>(), given["remote"].as<int>()};
        settings.gossip.comparesDigests = given.count("summaries") == 0;
        settings.platform.readers.minimumReaders = given["readers"].as<int>();
        for (const int daemons : given["sizes"].as<std::vector<int>>())
            measureSize(daemons, settings, given.count("short") > 0);
        return 0;
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << '\n';
        return exitUsage;
    }
}
