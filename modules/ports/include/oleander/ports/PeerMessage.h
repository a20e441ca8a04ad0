#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Query.h>
#include <oleander/core/Section.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace oleander {

/// A query that the entry instance forwards to a coordinator.
struct PeerQuery
{
    InstanceId from;
    Query query;
    Duration timeLeft{};
    /// Versions that the entry instance used. The side with the older version fetches the newer
    /// one.
    SectionVersion instanceList;
    SectionVersion partitionMap;

    bool operator==(const PeerQuery &) const = default;
};

/// The coordinator's answer to a PeerQuery.
struct PeerAnswer
{
    Answer answer;
    SectionVersion instanceList;
    SectionVersion partitionMap;

    bool operator==(const PeerAnswer &) const = default;
};

/// Evidence that a server was lost while it executed a query.
struct CrashNotice
{
    ServiceId service;
    Fingerprint fingerprint;
    ServerId server;
    /// Time between the loss of the server and the sending of the notice.
    Duration age{};

    bool operator==(const CrashNotice &) const = default;
};

/// Request and reply with which peers compare their sections, once a second and on each change.
///
/// A message describes the sections of its sender, by one digest or by their summaries, and may
/// request the bodies of sections. A side that learns of a newer section requests it, so bodies are
/// sent only on request.
struct ViewExchange
{
    InstanceId from;
    /// Hash over the summaries of all sections of the sender. When it equals that of the receiver,
    /// the summaries need not be sent.
    std::uint64_t heldDigest = 0;
    /// False when `held` is omitted and only heldDigest describes the sections.
    bool statesHeld = true;
    std::vector<SectionSummary> held;
    /// Names of the sections whose bodies the reply should contain.
    std::vector<std::string> wanted;
    /// The requested sections.
    std::vector<Section> newer;
    std::vector<CrashNotice> crashes;
    /// Time since the platform last answered any daemon, as far as the sender knows.
    Duration platformAge = Duration::max();
    /// True when the sender accepts no new queries.
    bool isStopping = false;

    bool operator==(const ViewExchange &) const = default;
};

/// A point in the history of the platform's registry. Points are ordered by the epoch first.
struct RegistryPosition
{
    /// Rises each time the registry comes back from an older copy of its content. Revisions go back
    /// then, and are given out again.
    std::uint64_t epoch = 0;
    /// Rises with each change.
    std::uint64_t revision = 0;

    bool operator==(const RegistryPosition &) const = default;
    bool operator<(const RegistryPosition &other) const
    {
        return std::tie(epoch, revision) < std::tie(other.epoch, other.revision);
    }
};

/// Requests changes of the platform's registry from an instance that reads it.
struct RegistryChangesRequest
{
    /// Requests the changes after this position; if empty, the whole content.
    std::optional<RegistryPosition> after;
    /// Longest time to wait for a change before the reply. Ignored when the whole content is
    /// requested.
    Duration wait{};

    bool operator==(const RegistryChangesRequest &) const = default;
};

/// One entry of the platform's registry, or its removal.
struct RegistryItem
{
    std::string key;
    std::string value;
    bool isRemoved = false;

    bool operator==(const RegistryItem &) const = default;
};

/// The reply to a RegistryChangesRequest.
struct RegistryChanges
{
    /// False when the changes after the requested position are not known; `items` is then empty.
    bool isKnown = true;
    std::vector<RegistryItem> items;
    /// The position up to which `items` is complete. It may be lower than the requested one when
    /// the requesting instance has read the registry more recently than the replying one.
    RegistryPosition position;
    /// Time since the registry last answered the replying instance.
    Duration age{};

    bool operator==(const RegistryChanges &) const = default;
};

/// One header field of a request or answer that instances pass on unchanged.
struct PeerField
{
    std::string name;
    std::string value;

    bool operator==(const PeerField &) const = default;
};

/// The rules by which a coordinator gathers the parts of an answer. They are sent whole rather than
/// by configuration version, so that an instance never answers by another version than its own.
struct GatherRules
{
    /// Name of the route, for statistics and logs.
    std::string route;
    std::vector<ServiceId> shards;
    std::uint64_t recordLimit = 0;
    /// Share of the shards, from 0 to 1, that an answer requires.
    double minimumShare = 1;
    /// Servers that may execute the request, counted for each shard.
    int maximumAttempts = 1;
    int priority = 0;
    Duration objective{};

    bool operator==(const GatherRules &) const = default;
};

/// A caller's request for parts of all shards, which the entry instance hands to a coordinator. All
/// gathered requests are idempotent.
struct PeerGather
{
    InstanceId from;
    RequestId request;
    std::string method;
    std::string target;
    std::string host;
    std::vector<PeerField> fields;
    std::string body;
    /// Hash of the rules, by which the coordinator finds those that it has been sent before.
    std::uint64_t rulesDigest = 0;
    /// Only sent when the coordinator has answered that it does not know the rules.
    std::optional<GatherRules> rules;
    /// Positions in the rules of the shards to be asked, ascending; empty for all shards. A reply
    /// for some shards contains whatever parts are in at the end, and their receipts.
    std::vector<std::uint32_t> shards;
    /// Parts of these shards that a reply needs while others are still awaited.
    std::uint32_t minimumParts = 0;
    /// Time until the caller's deadline.
    Duration timeLeft{};
    /// Time until the coordinator has to reply for the answer to meet the route's objective;
    /// negative when that has passed.
    Duration replyWithin{};
    /// True when another coordinator may have begun to execute the request: every attempt is then
    /// an extra one, and each shard is asked once at most.
    bool isRerun = false;

    bool operator==(const PeerGather &) const = default;
};

/// Proof of one shard's part in a merged reply.
struct ShardReceipt
{
    /// Position of the shard in the rules.
    std::uint32_t shard = 0;
    std::string receipt;

    bool operator==(const ShardReceipt &) const = default;
};

/// The coordinator's reply to a PeerGather.
struct PeerGatherReply
{
    /// The rules are not known. Nothing was executed, and the call is to be repeated with them.
    bool needsRules = false;
    /// The coordinator has too much to do. Nothing was executed.
    bool isBusy = false;
    /// Answer to the caller. Status 503 states that no shard has executed the request.
    int status = 0;
    std::vector<PeerField> fields;
    /// The merged records.
    std::string body;
    /// The shards in the body, if only some were to be asked.
    std::vector<ShardReceipt> receipts;
    std::uint64_t missingShards = 0;
    /// Time from the arrival of the call to the reply.
    Duration elapsed{};
    /// Gathered requests in progress at the coordinator.
    std::uint64_t activeGathers = 0;

    bool operator==(const PeerGatherReply &) const = default;
};

using PeerRequest = std::variant<PeerQuery, ViewExchange, RegistryChangesRequest, PeerGather>;
using PeerReply = std::variant<PeerAnswer, ViewExchange, RegistryChanges, PeerGatherReply>;

} // namespace oleander
