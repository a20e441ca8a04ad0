#pragma once

#include <oleander/node/ControlNode.h>

#include <algorithm>
#include <control/support/FakePeerNetwork.h>
#include <control/support/FakePlatform.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oleander::testing {

/// Pseudo-random numbers from a seed.
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

/// Counts recorded events by their id.
class CountingLog final : public EventLog
{
public:
    using EventLog::record;
    void record(EventId event, const RequestId & /*request*/, std::string_view /*text*/) override
    {
        ++counts[event];
    }
    std::map<EventId, int> counts;
};

/// The control plane of one daemon with its fakes.
struct ControlHost
{
    Instance instance;
    std::shared_ptr<VirtualTimer> timer;
    std::shared_ptr<FakePeerNetwork> network;
    std::unique_ptr<FakePlatformReader> platform;
    std::unique_ptr<SeededRandom> random;
    CountingLog log;
    std::shared_ptr<const FleetView> view;
    /// Number of times that a section was replaced by a lower version; must stay 0.
    int versionDecreases = 0;
    int viewsPublished = 0;
    std::vector<CrashNotice> crashes;
    std::unique_ptr<ControlNode> node;

    ~ControlHost() { network->setHandler(nullptr); }

    void onView(const std::shared_ptr<const FleetView> &next)
    {
        if (view) {
            versionDecreases += next->policies->version < view->policies->version ? 1 : 0;
            versionDecreases += next->instances->version < view->instances->version ? 1 : 0;
            for (const auto &[service, map] : view->partitions) {
                const auto found = next->partitions.find(service);
                if (found != next->partitions.end())
                    versionDecreases += found->second->version < map->version ? 1 : 0;
            }
        }
        view = next;
        ++viewsPublished;
    }
    [[nodiscard]] SectionVersion configVersion() const
    {
        return view ? view->policies->version : SectionVersion{};
    }
};

/// The control planes of several daemons, simulated in one process and in virtual time.
class ControlFleet
{
public:
    ControlFleet(SectionParsers parsers, std::uint64_t seed)
        : m_parsers(std::move(parsers))
        , m_seed(seed)
    {
    }

    VirtualScheduler scheduler;
    FakePlatform platform{scheduler};
    FakeNetwork network{scheduler};
    /// Settings for daemons that are started later. start() sets `self`.
    ControlSettings settings;
    std::map<InstanceId, std::unique_ptr<ControlHost>> hosts;

    // Daemons
    ControlHost &start(const Instance &instance)
    {
        auto host = std::make_unique<ControlHost>();
        host->instance = instance;
        host->timer = std::make_shared<VirtualTimer>(scheduler);
        host->network = std::make_shared<FakePeerNetwork>(network, instance, host->timer);
        host->platform = std::make_unique<FakePlatformReader>(platform, instance, host->timer);
        host->random = std::make_unique<SeededRandom>(++m_seed);
        ControlSettings hostSettings = settings;
        hostSettings.self = instance;
        ControlNode::Hooks hooks;
        hooks.viewPublished = [startedHost = host.get()](const auto &view) {
            startedHost->onView(view);
        };
        hooks.crashReported = [startedHost = host.get()](const auto &crash) {
            startedHost->crashes.push_back(crash);
        };
        host->node = std::make_unique<ControlNode>(ControlNode::Ports{*host->timer, *host->network,
                                                                      *host->platform,
                                                                      *host->random, host->log},
                                                   hostSettings, m_parsers, hooks);
        host->network->setHandler(host->node.get());
        host->network->listen();
        host->node->start();
        auto &slot = hosts[instance.id];
        slot = std::move(host);
        return *slot;
    }
    void kill(const InstanceId &id) { hosts.erase(id); }
    ControlHost &host(const std::string &id) { return *hosts.at(InstanceId(id)); }

    // State
    [[nodiscard]] bool allReady() const
    {
        return std::ranges::all_of(hosts,
                                   [](const auto &item) { return item.second->node->isReady(); });
    }
    [[nodiscard]] bool allHoldConfig(SectionVersion version) const
    {
        return std::ranges::all_of(
            hosts, [&](const auto &item) { return item.second->configVersion() == version; });
    }
    [[nodiscard]] int versionDecreases() const
    {
        int sum = 0;
        for (const auto &[id, host] : hosts)
            sum += host->versionDecreases;
        return sum;
    }

private:
    SectionParsers m_parsers;
    std::uint64_t m_seed;
};

} // namespace oleander::testing
