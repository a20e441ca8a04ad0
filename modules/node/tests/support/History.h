#pragma once

#include "VirtualProcess.h"

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>
#include <oleander/core/SubRequest.h>
#include <oleander/ports/QueryHandler.h>

#include <memory>
#include <set>

namespace oleander::fakes {

/// Stages of a query, which are the columns of the fault matrix.
enum class QueryStage {
    Accepted,
    Planned,
    Forwarded,
    Queued,
    Sent,
    PartAnswered,
    Answered,
    Merged,
    Returned,
};
constexpr int stageCount = 9;

/// One attempt of a caller: the query, the daemon that it was sent to, and the answer.
struct Submission
{
    int number = 0;
    TimePoint at;
    int daemon = 0;
    Query query;
    std::optional<Answer> answer;
    TimePoint answeredAt;
    QueryTicket ticket;
    bool isAnsweredTwice = false;
    /// The caller cancelled the query.
    bool isAbandoned = false;
    /// The entry instance was killed before it answered.
    bool isEntryLost = false;
    /// The process of the entry instance. Tells whether it was frozen during the attempt.
    const VirtualProcess *entry = nullptr;
};

/// A sub-request that a daemon sent or that a backend server began to execute.
struct SubRequestEvent
{
    TimePoint at;
    int process = 0;
    ServerId server;
    SubRequest request;
};

/// A daemon learned that a server drains, from a reply or from the partition map.
struct DrainNotice
{
    TimePoint at;
    int process = 0;
    ServerId server;
};

/// A daemon, in any of its processes, began to use a view with these versions.
struct VersionChange
{
    TimePoint at;
    int daemon = 0;
    SectionVersion configuration;
    SectionVersion instances;
};

/// Record of a session, which is checked by Judge and written to golden files.
struct History
{
    explicit History(const VirtualClock &sessionClock)
        : clock(sessionClock)
        , start(sessionClock.now())
    {
    }

    /// Adds a line to the trace, with the time since the start in milliseconds.
    void addTraceLine(const std::string &text);

    /// Records that a request has reached a stage. Calls onStage the first time.
    void recordStage(QueryStage stage, const CallerId &caller, const RequestId &request);
    /// Records a shard's reply: the request reaches PartAnswered, and Answered when `shardsAsked`
    /// shards have replied.
    void recordReply(const CallerId &caller, const RequestId &request, const ShardId &shard);

    const VirtualClock &clock;
    TimePoint start;
    /// All attempts in the order of sending. Pointers to the elements stay valid.
    std::vector<std::unique_ptr<Submission>> submissions;
    std::vector<SubRequestEvent> sends;
    std::vector<SubRequestEvent> executions;
    std::vector<DrainNotice> drains;
    /// All published partition maps.
    std::vector<std::shared_ptr<const PartitionMap>> maps;
    std::vector<VersionChange> versions;
    /// The configuration versions that ready daemons use at the end, and the newest published
    /// version.
    std::vector<SectionVersion> finalVersions;
    SectionVersion newestConfiguration;
    /// Servers lost while they executed a crashing query.
    std::set<ServerId> crashedServers;
    /// Numbers of connections that servers refused because of their cap, and that they accepted.
    int refusedConnections = 0;
    int acceptedConnections = 0;
    /// Called within the event that reaches the stage, so it must only schedule further events.
    std::function<void(QueryStage, const RequestId &)> onStage;
    std::set<std::pair<RequestId, QueryStage>> reachedStages;
    std::map<RequestId, std::set<ShardId>> repliedShards;
    std::size_t shardsAsked = 0;
    bool isTracing = false;
    std::vector<std::string> trace;
};

} // namespace oleander::fakes
