#pragma once

#include "VirtualHost.h"

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>
#include <oleander/core/SubRequest.h>
#include <oleander/ports/QueryHandler.h>

#include <memory>
#include <set>

namespace oleander::fakes {

/// What a query has come to. The columns of the fault matrix.
enum class Step {
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
constexpr int stepCount = 9;

/// One attempt of a caller: what it sent to which daemon, and what came back.
struct Submission
{
    int number = 0;
    TimePoint at;
    int daemon = 0;
    Query query;
    std::optional<Answer> answer;
    TimePoint answeredAt;
    QueryTicket ticket;
    bool isDoublyAnswered = false;
    /// The caller took it back.
    bool isAbandoned = false;
    /// The entry was killed before it answered.
    bool isEntryLost = false;
    /// The process that took it, which may have been paused.
    const VirtualHost *entry = nullptr;
};

/// A sub-request as it left a daemon, or as a backend server began to execute it.
struct SubRequestEvent
{
    TimePoint at;
    int daemon = 0;
    ServerId server;
    SubRequest request;
};

/// A daemon was told that a server drains, by a reply or by the published list.
struct DrainEvidence
{
    TimePoint at;
    int daemon = 0;
    ServerId server;
};

/// A view came into force at a daemon, of whatever process.
struct VersionEvent
{
    TimePoint at;
    int daemon = 0;
    SectionVersion configuration;
    SectionVersion instances;
};

/// Everything that a session did, for the judge and for golden files.
struct History
{
    explicit History(const VirtualClock &sessionClock)
        : clock(sessionClock)
        , start(sessionClock.now())
    {
    }

    /// Adds a line to the trace, with the time since the start in milliseconds.
    void note(const std::string &text);

    /// The request has come to a step; calls onStep the first time.
    void reach(Step step, const CallerId &caller, const RequestId &request);
    /// A shard's reply was taken: part answered, or answered when `shardsAsked` have come.
    void reachReply(const CallerId &caller, const RequestId &request, const ShardId &shard);

    const VirtualClock &clock;
    TimePoint start;
    /// Pointers into it stay valid.
    std::vector<std::unique_ptr<Submission>> submissions;
    std::vector<SubRequestEvent> sends;
    std::vector<SubRequestEvent> executions;
    std::vector<DrainEvidence> drains;
    /// Every partition map that was ever published.
    std::vector<std::shared_ptr<const PartitionMap>> maps;
    std::vector<VersionEvent> versions;
    /// At the end: the configuration in force at each ready daemon, and the newest published one.
    std::vector<SectionVersion> finalVersions;
    SectionVersion newestConfiguration;
    /// Servers lost while they executed the query that crashes servers.
    std::set<ServerId> crashedServers;
    /// Connections that servers refused because of their cap, and those that they took.
    int refusedConnections = 0;
    int acceptedConnections = 0;
    /// Called inside the event that reaches the step, so it must only schedule.
    std::function<void(Step, const RequestId &)> onStep;
    std::set<std::pair<RequestId, Step>> reached;
    std::map<RequestId, std::set<ShardId>> repliedShards;
    std::size_t shardsAsked = 0;
    bool isTracing = false;
    std::vector<std::string> trace;
};

} // namespace oleander::fakes
