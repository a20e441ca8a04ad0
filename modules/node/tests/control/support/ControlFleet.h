#pragma once

#include <oleander/node/ControlNode.h>

#include <algorithm>
#include <control/support/FakePeers.h>
#include <control/support/FakePlatform.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oleander::testing {

/// Seeded random numbers.
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

/// Counts events by number.
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

/// One daemon's control plane with its fakes.
struct ControlHost
{
    Instance instance;
    std::shared_ptr<VirtualTimer> timer;
    std::shared_ptr<FakePeerNetwork> network;
    std::unique_ptr<FakePlatformReader> platform;
    std::unique_ptr<SeededRandom> random;
    CountingLog log;
    std::shared_ptr<const FleetView> view;
    /// Versions that were in force and then replaced by lower ones; must stay 0.
    int reversions = 0;
    int viewsPublished = 0;
    std::vector<CrashNotice> crashes;
    std::unique_ptr<ControlNode> node;

    ~ControlHost() { network->setHandler(nullptr); }

    void onView(const std::shared_ptr<const FleetView> &next)
    {
        if (view) {
            reversions += next->policies->version < view->policies->version ? 1 : 0;
            reversions += next->instances->version < view->instances->version ? 1 : 0;
            for (const auto &[service, map] : view->partitions) {
                const auto found = next->partitions.find(service);
                if (found != next->partitions.end())
                    reversions += found->second->version < map->version ? 1 : 0;
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

/// Several daemons' control planes in one process and in virtual time.
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
    FakeWire wire{scheduler};
    /// Settings of daemons that are started from now on; `self` is filled in.
    ControlSettings settings;
    std::map<InstanceId, std::unique_ptr<ControlHost>> hosts;

    // Daemons
    ControlHost &start(const Instance &instance)
    {
        auto host = std::make_unique<ControlHost>();
        host->instance = instance;
        host->timer = std::make_shared<VirtualTimer>(scheduler);
        host->network = std::make_shared<FakePeerNetwork>(wire, instance, host->timer);
        host->platform = std::make_unique<FakePlatformReader>(platform, instance, host->timer);
        host->random = std::make_unique<SeededRandom>(++m_seed);
        ControlSettings own = settings;
        own.self = instance;
        ControlNode::Hooks hooks;
        hooks.viewPublished = [raw = host.get()](const auto &view) { raw->onView(view); };
        hooks.crashReported = [raw = host.get()](const auto &crash) {
            raw->crashes.push_back(crash);
        };
        host->node = std::make_unique<ControlNode>(ControlNode::Ports{*host->timer, *host->network,
                                                                      *host->platform,
                                                                      *host->random, host->log},
                                                   own, m_parsers, hooks);
        host->network->setHandler(host->node.get());
        host->network->listen();
        host->node->start();
        auto &slot = hosts[instance.id];
        slot = std::move(host);
        return *slot;
    }
    void kill(const InstanceId &id) { hosts.erase(id); }
    ControlHost &host(const std::string &id) { return *hosts.at(InstanceId(id)); }

    // Looking
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
    [[nodiscard]] int reversions() const
    {
        int sum = 0;
        for (const auto &[id, host] : hosts)
            sum += host->reversions;
        return sum;
    }

private:
    SectionParsers m_parsers;
    std::uint64_t m_seed;
};

} // namespace oleander::testing
