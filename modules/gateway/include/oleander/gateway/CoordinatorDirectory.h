#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Units.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace oleander::gateway {

/// The coordinators that this instance knows, and what it has seen of them.
///
/// Lists of coordinators come from the seeds. A coordinator that fails a call is avoided for a
/// while: that time grows with each further failure, and ends with a successful call.
class CoordinatorDirectory
{
public:
    CoordinatorDirectory(InstanceId self, DataCentreId dataCentre)
        : m_self(std::move(self))
        , m_dataCentre(std::move(dataCentre))
    {
    }

    // Lists
    /// Called with the list that a seed has elected. Returns true if the known coordinators
    /// changed.
    bool onList(const InstanceId &seed, std::vector<Instance> coordinators, TimePoint now);
    /// All known coordinators, sorted by id. Lists of seeds that are silent count only while no
    /// other seed is heard of.
    [[nodiscard]] const std::vector<Instance> &known() const { return m_known; }

    // Evidence
    void noteReply(const InstanceId &coordinator, std::size_t activeGathers, TimePoint now);
    void noteFailure(const InstanceId &coordinator, TimePoint now);

    /// The coordinator for the next request, or nothing. Only instances of `dataCentres` are
    /// chosen unless that is empty, none of `excluded`, and not this instance. Each instance
    /// prefers one coordinator of its data centre, so that its connections stay in use, and leaves
    /// it while that fails or has much more to do than others.
    [[nodiscard]] std::optional<Instance> choose(const std::vector<DataCentreId> &dataCentres,
                                                 const std::vector<InstanceId> &excluded,
                                                 TimePoint now) const;

private:
    struct SeedList
    {
        std::vector<Instance> coordinators;
        TimePoint heardAt{};
    };
    struct Evidence
    {
        int failures = 0;
        TimePoint avoidedUntil{};
        std::size_t activeGathers = 0;
        TimePoint reportedAt{};
    };

    [[nodiscard]] std::size_t loadLevel(const InstanceId &coordinator, TimePoint now) const;
    [[nodiscard]] bool isAvoided(const InstanceId &coordinator, TimePoint now) const;

    InstanceId m_self;
    DataCentreId m_dataCentre;
    std::unordered_map<InstanceId, SeedList> m_lists;
    std::vector<Instance> m_known;
    std::unordered_map<InstanceId, Evidence> m_evidence;
};

} // namespace oleander::gateway
