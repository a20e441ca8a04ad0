#pragma once

#include <control/support/ControlFleet.h>
#include <control/support/PlainParsers.h>
#include <string>

namespace oleander::testing {

/// Fleet of daemons i0, i1, ... in data centres dc0, dc1, ..., configured in the format of
/// plainParsers().
struct SmallFleet : ControlFleet
{
    SmallFleet(int count, int dataCentres, std::uint64_t seed = 1)
        : ControlFleet(plainParsers(), seed)
        , size(count)
        , dataCentreCount(dataCentres)
    {
        settings.fleet = FleetId("fleet");
        platform.publish("config", "fleet first");
        platform.publish("services", "s0 s1 s2");
        for (int number = 0; number < 3; ++number)
            platform.publish("partitions/s" + std::to_string(number),
                             "s" + std::to_string(number) + " 1");
        publishInstances();
    }

    int size;
    int dataCentreCount;

    [[nodiscard]] Instance instance(int number) const
    {
        const std::string id = "i" + std::to_string(number);
        const std::string dataCentre = "dc" + std::to_string(number % dataCentreCount);
        return {InstanceId(id), DataCentreId(dataCentre), id + ":peer", id + ":pages", false};
    }

    void publishInstances()
    {
        std::string lines;
        for (int number = 0; number < size; ++number) {
            const Instance listed = instance(number);
            lines += listed.id.text() + " " + listed.dataCentre.text() + "\n";
        }
        platform.publish("instances", lines);
    }

    void startAll()
    {
        for (int number = 0; number < size; ++number)
            start(instance(number));
    }

    /// Starts all daemons and waits until they are ready. Returns false if this takes longer than
    /// 10 s.
    bool startAllReady()
    {
        startAll();
        return scheduler.runUntil([this] { return allReady(); }, seconds(10));
    }

    /// Blocks messages between the daemons with numbers below `border` and the others.
    void split(int border)
    {
        network.isCut = [border](const Instance &left, const Instance &right) {
            const auto number = [](const Instance &item) {
                return std::stoi(item.id.text().substr(1));
            };
            return (number(left) < border) != (number(right) < border);
        };
    }
    void heal()
    {
        network.isCut = [](const Instance &, const Instance &) { return false; };
    }
};

} // namespace oleander::testing
