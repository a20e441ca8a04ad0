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

/// Holds a ServiceCoordinator for each service that this worker coordinates, and updates them when
/// a new view is published.
///
/// Decides whether this instance may serve a query at all; the ServiceCoordinator decides the rest.
class CoordinatorSet
{
public:
    CoordinatorSet(QueryNode::Ports ports, QueryNode::Identity identity);
    ~CoordinatorSet();

    // Queries
    /// Identifies a submitted query.
    struct Handle
    {
        ServiceId service;
        ActiveQueryId query;
    };

    /// Executes a query, or refuses it if this instance does not coordinate its service.
    Handle submit(PeerQuery message, std::function<void(Answer)> done);
    void abandon(const Handle &handle);

    // Time and crash notices
    void tick(TimePoint now);
    void onHeartbeat(TimePoint now, bool isAfterPause);
    void onCrashNotices(const std::vector<CrashNotice> &notices);

    // Status
    [[nodiscard]] bool ownsService(const ServiceId &service) const;
    [[nodiscard]] std::size_t activeQueries() const;
    void fillStatus(QueryNodeStatus &status) const;

private:
    /// A period in which the coordinators of a service did not change, according to the instance
    /// lists of this instance.
    struct Epoch
    {
        WallTime since;
        std::vector<InstanceId> coordinators;
    };

    struct CoordinatedService
    {
        std::unique_ptr<ServiceCoordinator> coordinator;
        std::deque<Epoch> epochs;
        /// Version of the newest instance list under which this instance coordinated the service.
        SectionVersion listVersion;
        /// Whether this instance coordinates the service according to the current view.
        bool isServing = false;
    };

    void updateFromView();
    void updateService(const std::shared_ptr<const PartitionMap> &map);
    /// Clears the epochs if this instance did not coordinate the service under the preceding
    /// instance list. Another instance may have been the first coordinator then, so this one does
    /// not know all earlier requests.
    void clearEpochsAfterGap(CoordinatedService &coordinated);
    /// Removes the coordinators of services that this instance no longer coordinates, once they
    /// have no active queries.
    void removeUnserved();
    CoordinatedService &findOrCreate(const ServiceId &service);
    bool mayServe(const PeerQuery &message, const ServiceId &service, Answer &refused);
    bool mayServeNonIdempotent(const PeerQuery &message, CoordinatedService &coordinated,
                               const ServiceId &service, Answer &refused);
    void broadcastCrash(const ServiceId &service, const CrashEvidence &evidence);
    [[nodiscard]] Policy servicePolicy(const FleetView &view, const PartitionMap &map) const;

    QueryNode::Ports m_ports;
    QueryNode::Identity m_identity;
    std::shared_ptr<const FleetView> m_view;
    CoordinatorTable m_coordinators;
    std::map<ServiceId, CoordinatedService> m_services;
};

} // namespace oleander
