#pragma once

#include <control/support/ControlFleet.h>
#include <cstddef>
#include <string>
#include <vector>

namespace oleander::bench {

/// Sizes of what is published, and where the daemons stand.
struct WorldSizes
{
    int daemons = 20;
    int dataCentres = 7;
    /// Data centres before this one are one region, the others the second.
    int firstOfSecondRegion = 4;
    int services = 42;
    int servers = 5200;
    int shards = 64;
    int exceptions = 20;
};

/// A fleet of control planes in virtual time at a given size, with documents like those of a real
/// fleet and the parsers that daemons use.
class ControlWorld : public oleander::testing::ControlFleet
{
public:
    ControlWorld(const WorldSizes &sizes, std::uint64_t seed);

    // Daemons
    [[nodiscard]] Instance instance(int number) const;
    [[nodiscard]] int dataCentreOf(int number) const { return number % m_sizes.dataCentres; }
    void startAll();

    // Operators
    /// A change of the configuration; its text differs from the one before.
    SectionVersion publishConfig();
    SectionVersion publishPartitions(int service);
    /// The list of these daemons.
    SectionVersion publishInstances(const std::vector<Instance> &instances);
    [[nodiscard]] std::vector<Instance> listed() const { return m_listed; }

    // Faults
    void cutRegions(bool isCut);

    // Counts
    /// Length of a published text, in bytes.
    [[nodiscard]] std::size_t bytesOf(const std::string &section) const;

private:
    [[nodiscard]] std::string configText() const;
    [[nodiscard]] std::string partitionsText(int service) const;

    WorldSizes m_sizes;
    std::vector<Instance> m_listed;
    std::map<std::string, std::size_t> m_bytes;
    int m_changes = 0;
};

} // namespace oleander::bench
