#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/PeerNetwork.h>
#include <oleander/ports/QueryHandler.h>
#include <oleander/ports/QueryObserver.h>
#include <oleander/ports/RandomSource.h>
#include <oleander/ports/ServerNetwork.h>
#include <oleander/ports/TimerService.h>
#include <oleander/ports/ViewSource.h>

#include <functional>
#include <memory>
#include <vector>

namespace oleander {

/// What a worker of a daemon reports to operators.
struct QueryNodeStatus
{
    std::vector<ServiceId> coordinated;
    int connections = 0;
    std::size_t activeQueries = 0;
    std::size_t waitingSubRequests = 0;
    std::uint64_t refusals = 0;
    int suspicions = 0;
};

/// One worker of a daemon: takes callers' queries as an entry, and answers queries of the services
/// it coordinates.
///
/// The node has no socket, clock or thread of its own: it lives on the thread of the ports it was
/// given and hears from them. Several workers of one daemon share its services by hash, each has
/// its own node. Use: construct, connect callers to submit() and peers to onPeerQuery(), and end
/// with beginStop(). Every submitted query gets exactly one answer unless it is abandoned.
///
/// Neighbours: ControlNode publishes the views that this node pins.
class QueryNode : public QueryHandler
{
public:
    struct Ports
    {
        TimerService &timers;
        ServerNetwork &servers;
        PeerNetwork &peers;
        RandomSource &random;
        const ViewSource &views;
        EventLog &log;
        QueryObserver &observer;
    };

    struct Identity
    {
        InstanceId instance;
        DataCentreId dataCentre;
        int worker = 0;
        int workers = 1;
    };

    QueryNode(Ports ports, Identity identity);
    ~QueryNode() override;
    QueryNode(const QueryNode &) = delete;
    QueryNode &operator=(const QueryNode &) = delete;

    // Queries of callers
    QueryTicket submit(Query query, std::function<void(Answer)> done) override;
    void abandon(QueryTicket ticket) override;

    // Messages of peers
    /// A query of another entry, or of another worker of this daemon.
    void onPeerQuery(PeerQuery message, const std::shared_ptr<PeerResponder> &responder);
    void onCrashNotices(const std::vector<CrashNotice> &notices);

    // Life
    /// Whether this worker is the one for a service; onPeerQuery() is for these only.
    [[nodiscard]] bool ownsService(const ServiceId &service) const;
    /// Takes no new queries; calls back when the last one has been answered.
    void beginStop(std::function<void()> whenIdle);
    [[nodiscard]] QueryNodeStatus status() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
