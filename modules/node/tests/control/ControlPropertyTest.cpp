#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <control/support/SmallFleet.h>

using namespace oleander;
using oleander::testing::SmallFleet;

namespace {

constexpr int fleetSize = 12;
constexpr Duration longestPause = seconds(8);

enum class Fault {
    Publish,
    PublishInvalid,
    PublishInstances,
    PlatformDown,
    PlatformUp,
    PlatformStale,
    PlatformCurrent,
    PlatformSlow,
    PlatformFast,
    Split,
    Heal,
    Kill,
    Start,
    Pause,
    CutOneFromPlatform,
    PlannedStop,
};

struct FaultStep
{
    Fault fault;
    int number;
    Duration duration;
};

std::ostream &operator<<(std::ostream &stream, const FaultStep &step)
{
    return stream << "{fault " << static_cast<int>(step.fault) << ", number " << step.number
                  << ", then " << inMilliseconds(step.duration) << " ms}";
}

rc::Gen<FaultStep> arbitraryFaultStep()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, fleetSize),
                                       rc::gen::inRange(1, 3000)),
                        [](const std::tuple<int, int, int> &values) {
                            return FaultStep{static_cast<Fault>(std::get<0>(values)),
                                             std::get<1>(values),
                                             milliseconds(std::get<2>(values))};
                        });
}

void changePlatform(SmallFleet &fleet, const FaultStep &step)
{
    switch (step.fault) {
    case Fault::Publish:
        fleet.platform.publish("config", "fleet " + std::to_string(step.duration.count()));
        fleet.platform.publish("partitions/s1", "s1 " + std::to_string(step.number));
        break;
    case Fault::PublishInvalid:
        fleet.platform.publish("config", "fleet bad");
        break;
    case Fault::PublishInstances:
        fleet.publishInstances();
        break;
    case Fault::PlatformDown:
    case Fault::PlatformUp:
        fleet.platform.setDown(step.fault == Fault::PlatformDown);
        break;
    case Fault::PlatformStale:
        fleet.platform.beginStale();
        break;
    case Fault::PlatformCurrent:
        fleet.platform.endStale();
        break;
    case Fault::PlatformSlow:
        fleet.platform.setLatency(seconds(2));
        break;
    default:
        fleet.platform.setLatency(milliseconds(3));
        break;
    }
}

void changeFleet(SmallFleet &fleet, const FaultStep &step)
{
    const Instance instance = fleet.instance(step.number);
    const auto host = fleet.hosts.find(instance.id);
    if (step.fault == Fault::Split) {
        fleet.split(step.number);
        return;
    }
    if (step.fault == Fault::Heal) {
        fleet.heal();
        return;
    }
    if (host == fleet.hosts.end()) {
        if (step.fault == Fault::Start)
            fleet.start(instance);
        return;
    }
    if (step.fault == Fault::Kill)
        fleet.kill(instance.id);
    if (step.fault == Fault::Pause)
        host->second->timer->pauseFor(longestPause * step.number / fleetSize);
    if (step.fault == Fault::CutOneFromPlatform)
        host->second->platform->setCut(true);
    if (step.fault == Fault::PlannedStop)
        host->second->node->beginStop();
}

void apply(SmallFleet &fleet, const FaultStep &step)
{
    if (step.fault <= Fault::PlatformFast)
        changePlatform(fleet, step);
    else
        changeFleet(fleet, step);
    fleet.scheduler.runFor(step.duration);
}

/// Name, version and digest of every section that a daemon holds.
std::vector<SectionSummary> heldBy(const ControlNode &node)
{
    std::vector<SectionSummary> held;
    for (const auto &section : node.status().sections)
        held.push_back(section.summary);
    return held;
}

bool allHoldTheSame(const SmallFleet &fleet)
{
    const auto &first = heldBy(*fleet.hosts.begin()->second->node);
    return std::ranges::all_of(
        fleet.hosts, [&](const auto &item) { return heldBy(*item.second->node) == first; });
}

} // namespace

RC_GTEST_PROP(ControlProperty, VersionsNeverDecreaseAndConnectedDaemonsConverge, ())
{
    const auto steps =
        *rc::gen::container<std::vector<FaultStep>>(*rc::gen::inRange(1, 40), arbitraryFaultStep());
    SmallFleet fleet(fleetSize, 3, *rc::gen::inRange<std::uint64_t>(1, 1000000));
    RC_ASSERT(fleet.startAllReady());
    for (const FaultStep &step : steps)
        apply(fleet, step);
    RC_ASSERT(fleet.versionDecreases() == 0);
    if (fleet.hosts.empty())
        return;

    // With the platform down, the daemons must converge through their peers alone, once pauses and
    // network partitions have ended.
    fleet.platform.setDown(true);
    fleet.scheduler.runFor(longestPause);
    fleet.heal();
    RC_ASSERT(fleet.scheduler.runUntil([&] { return allHoldTheSame(fleet); }, seconds(3)));
    RC_ASSERT(fleet.versionDecreases() == 0);
}

RC_GTEST_PROP(ControlProperty, DaemonsGetTheNewestVersionAfterThePlatformRecovers, ())
{
    const auto steps =
        *rc::gen::container<std::vector<FaultStep>>(*rc::gen::inRange(1, 30), arbitraryFaultStep());
    SmallFleet fleet(fleetSize, 3, *rc::gen::inRange<std::uint64_t>(1, 1000000));
    RC_ASSERT(fleet.startAllReady());
    for (const FaultStep &step : steps)
        apply(fleet, step);
    if (fleet.hosts.empty())
        return;

    fleet.heal();
    fleet.platform.endStale();
    fleet.platform.setDown(false);
    fleet.platform.setLatency(milliseconds(3));
    for (const auto &[id, host] : fleet.hosts)
        host->platform->setCut(false);
    std::erase_if(fleet.hosts,
                  [](const auto &item) { return item.second->node->status().isStopping; });
    fleet.scheduler.runFor(longestPause + seconds(5));
    const auto version = fleet.platform.publish("config", "fleet at last");
    RC_ASSERT(fleet.scheduler.runUntil([&] { return fleet.allHoldConfig(version); }, seconds(3)));
    RC_ASSERT(fleet.allReady());
}
