#pragma once

#include "CoordinatorTable.h"

#include <oleander/core/FleetView.h>
#include <oleander/node/QueryNode.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace oleander {

/// Takes callers' queries and forwards each to a coordinator of its service.
///
/// The entry checks and bounds a query, pins the view, and asks the coordinators in the order that
/// the query's key gives. It asks another one only when the query was provably not processed, or
/// when it is idempotent and the first does not answer. It never retries towards servers.
class QueryEntry
{
public:
    /// Hands a query to a coordinator on this worker; the result ends its work when called.
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
    /// One call to a coordinator; ends the work there when destroyed unanswered.
    struct Leg
    {
        std::uint64_t number = 0;
        InstanceId coordinator;
        std::function<void()> end;
        TimePoint startedAt{};
    };

    struct Forwarded
    {
        QueryTicket ticket;
        Query query;
        Policy policy;
        std::shared_ptr<const FleetView> view;
        std::shared_ptr<const PartitionMap> map;
        std::vector<InstanceId> order;
        std::size_t next = 0;
        std::vector<Leg> legs;
        TimePoint startedAt{};
        TimePoint deadline{};
        /// When a silent coordinator is given up and another is asked too.
        TimePoint failoverAt{};
        /// Some coordinator may have executed the query.
        bool mayHaveRun = false;
        Answer lastRefusal;
        std::function<void(Answer)> done;
    };

    bool check(const Query &query, const Policy &policy, const FleetView &view,
               const std::shared_ptr<const PartitionMap> &map, Answer &refused) const;
    void refuseNow(const Query &query, Answer refused, const std::function<void(Answer)> &done);
    void forward(Forwarded &forwarded);
    void forwardTo(Forwarded &forwarded, const InstanceId &coordinator);
    void onOutcome(QueryTicket ticket, std::uint64_t leg, PeerOutcome outcome);
    void onAnswer(QueryTicket ticket, std::uint64_t leg, Answer answer);
    void onLegEnded(Forwarded &forwarded, bool mayHaveRun);
    void finish(Forwarded &forwarded, Answer answer);
    [[nodiscard]] Answer lastWord(const Forwarded &forwarded) const;
    void suspect(const InstanceId &coordinator);
    [[nodiscard]] std::vector<InstanceId> orderFor(const Query &query,
                                                   const std::shared_ptr<const FleetView> &view,
                                                   const PartitionMap &map);
    Forwarded *find(QueryTicket ticket);
    static bool removeLeg(Forwarded &forwarded, std::uint64_t number);

    QueryNode::Ports m_ports;
    QueryNode::Identity m_identity;
    LocalSubmit m_submitLocally;
    std::function<bool(const ServiceId &)> m_ownsService;
    std::unordered_map<QueryTicket, std::unique_ptr<Forwarded>> m_forwarded;
    CoordinatorTable m_coordinators;
    /// Coordinators that lately did not answer, until the evidence expires.
    std::unordered_map<InstanceId, TimePoint> m_suspectUntil;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastLeg = 0;
    std::uint64_t m_refusals = 0;
};

} // namespace oleander
