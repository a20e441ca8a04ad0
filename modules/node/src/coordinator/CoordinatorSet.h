#pragma once

#include "CoordinatorTable.h"
#include "coordinator/ServiceCoordinator.h"

#include <oleander/node/QueryNode.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace oleander {

/// The services that this worker coordinates, kept in step with what is published.
///
/// It decides whether a query may be served here at all; ServiceCoordinator decides the rest.
class CoordinatorSet
{
public:
    CoordinatorSet(QueryNode::Ports ports, QueryNode::Identity identity);
    ~CoordinatorSet();

    // Queries
    /// Names a query that was submitted here.
    struct Handle
    {
        ServiceId service;
        ActiveQueryId query;
    };

    /// Answers a query, or refuses it when this instance does not coordinate its service.
    Handle submit(PeerQuery message, std::function<void(Answer)> done);
    void abandon(const Handle &handle);

    // Time and evidence
    void tick(TimePoint now);
    void beat(TimePoint now, bool isAfterPause);
    void onCrashNotices(const std::vector<CrashNotice> &notices);

    // Status
    [[nodiscard]] bool ownsService(const ServiceId &service) const;
    [[nodiscard]] std::size_t activeQueries() const;
    void fillStatus(QueryNodeStatus &status) const;

private:
    /// The coordinators of a service since some time, by this instance's list.
    struct Epoch
    {
        WallTime since;
        std::vector<InstanceId> coordinators;
    };

    struct Entry
    {
        std::unique_ptr<ServiceCoordinator> coordinator;
        std::deque<Epoch> epochs;
        /// The list of instances by which this instance last served.
        SectionVersion listVersion;
        /// Whether this instance serves the service by the view in force.
        bool isServing = false;
    };

    void followView();
    void followService(const std::shared_ptr<const PartitionMap> &map);
    /// By a list that this instance did not serve by, another one may have been first: what was
    /// before it does not count as remembered.
    void forgetEpochsBeforeGap(Entry &entry);
    /// Ends coordinators of services that are served elsewhere, once they have nothing to finish.
    void endUnserved();
    Entry &entryFor(const ServiceId &service);
    bool mayServe(const PeerQuery &message, const ServiceId &service, Answer &refused);
    bool mayServeOnce(const PeerQuery &message, Entry &entry, const ServiceId &service,
                      Answer &refused);
    void spreadCrash(const ServiceId &service, const CrashEvidence &evidence);
    [[nodiscard]] Policy servicePolicy(const FleetView &view, const PartitionMap &map) const;

    QueryNode::Ports m_ports;
    QueryNode::Identity m_identity;
    std::shared_ptr<const FleetView> m_view;
    CoordinatorTable m_coordinators;
    std::map<ServiceId, Entry> m_entries;
};

} // namespace oleander
