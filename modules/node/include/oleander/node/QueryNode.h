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

/// Status of one worker of a daemon, for operators.
struct QueryNodeStatus
{
    std::vector<ServiceId> coordinated;
    int connections = 0;
    std::size_t activeQueries = 0;
    std::size_t waitingSubRequests = 0;
    std::uint64_t refusals = 0;
    int suspicions = 0;
};

/// One worker of a daemon. It accepts queries from callers, forwards each to a coordinator of its
/// service, and executes the queries of the services that it coordinates itself.
///
/// The node owns no socket, clock or thread. It runs on the thread of the ports that are passed to
/// its constructor. A daemon may have several workers, each with its own QueryNode; the services
/// are distributed over the workers by hash. Connect callers to submit() and peers to
/// onPeerQuery(), and shut down with beginStop(). Every submitted query gets exactly one answer
/// unless it is abandoned.
///
/// ControlNode publishes the views that this node uses.
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
    /// A query that another daemon, or another worker of this daemon, forwarded.
    void onPeerQuery(PeerQuery message, const std::shared_ptr<PeerResponder> &responder);
    void onCrashNotices(const std::vector<CrashNotice> &notices);

    // Lifecycle
    /// Whether this worker handles the service. onPeerQuery() may only be called for such services.
    [[nodiscard]] bool ownsService(const ServiceId &service) const;
    /// Stops accepting queries. Calls `whenIdle` when the last active query has been answered.
    void beginStop(std::function<void()> whenIdle);
    [[nodiscard]] QueryNodeStatus status() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
