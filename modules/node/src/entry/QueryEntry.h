#pragma once

#include "CoordinatorTable.h"

#include <oleander/core/FleetView.h>
#include <oleander/node/QueryNode.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace oleander {

/// Accepts queries from callers and forwards each to a coordinator of its service.
///
/// The entry validates a query, limits its deadline, pins the view and calls the coordinators in
/// the order that the query's routing key determines. It calls another coordinator only if the
/// query was provably not processed, or if the query is idempotent and the first coordinator does
/// not answer. It never sends to servers; retries there are left to the coordinator.
class QueryEntry
{
public:
    /// Submits a query to a coordinator on this worker. Calling the returned function cancels the
    /// query.
    using LocalSubmit =
        std::function<std::function<void()>(PeerQuery, std::function<void(Answer)>)>;

    QueryEntry(QueryNode::Ports ports, QueryNode::Identity identity, LocalSubmit submitLocally,
               std::function<bool(const ServiceId &)> ownsService);

    // Queries
    QueryTicket submit(Query query, std::function<void(Answer)> done);
    void abandon(QueryTicket ticket);

    // Time
    void tick(TimePoint now);
    [[nodiscard]] std::size_t activeQueries() const { return m_forwarded.size(); }
    [[nodiscard]] std::uint64_t refusals() const { return m_refusals; }

private:
    /// An outstanding call to a coordinator.
    struct CoordinatorCall
    {
        std::uint64_t number = 0;
        InstanceId coordinator;
        std::function<void()> cancel;
        TimePoint startedAt{};
    };

    struct ForwardedQuery
    {
        QueryTicket ticket;
        Query query;
        Policy policy;
        std::shared_ptr<const FleetView> view;
        std::shared_ptr<const PartitionMap> map;
        std::vector<InstanceId> coordinators;
        std::size_t nextCoordinator = 0;
        std::vector<CoordinatorCall> calls;
        TimePoint startedAt{};
        TimePoint deadline{};
        /// When another coordinator is called as well because the current one has not answered.
        TimePoint failoverAt{};
        /// Whether any coordinator may have executed the query.
        bool mayHaveRun = false;
        Answer lastRefusal;
        std::function<void(Answer)> done;
    };

    bool validate(const Query &query, const Policy &policy, const FleetView &view,
                  const std::shared_ptr<const PartitionMap> &map, Answer &refused) const;
    void refuseQuery(const Query &query, Answer refused, const std::function<void(Answer)> &done);
    void forward(ForwardedQuery &forwarded);
    void forwardTo(ForwardedQuery &forwarded, const InstanceId &coordinator);
    void onOutcome(QueryTicket ticket, std::uint64_t callNumber, PeerOutcome outcome);
    void onAnswer(QueryTicket ticket, std::uint64_t callNumber, Answer answer);
    void onCallEnded(ForwardedQuery &forwarded, bool mayHaveRun);
    void finish(ForwardedQuery &forwarded, Answer answer);
    [[nodiscard]] Answer failureAnswer(const ForwardedQuery &forwarded) const;
    void markUnresponsive(const InstanceId &coordinator);
    [[nodiscard]] std::vector<InstanceId>
    coordinatorsInOrder(const Query &query, const std::shared_ptr<const FleetView> &view,
                        const PartitionMap &map);
    ForwardedQuery *find(QueryTicket ticket);
    static bool removeCall(ForwardedQuery &forwarded, std::uint64_t number);

    QueryNode::Ports m_ports;
    QueryNode::Identity m_identity;
    LocalSubmit m_submitLocally;
    std::function<bool(const ServiceId &)> m_ownsService;
    std::unordered_map<QueryTicket, std::unique_ptr<ForwardedQuery>> m_forwarded;
    CoordinatorTable m_coordinators;
    /// Coordinators that recently did not answer. Until the given time they are called after the
    /// others.
    std::unordered_map<InstanceId, TimePoint> m_unresponsiveUntil;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastCallNumber = 0;
    std::uint64_t m_refusals = 0;
};

} // namespace oleander
