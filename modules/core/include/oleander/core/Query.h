#pragma once

#include <oleander/core/ErrorKind.h>
#include <oleander/core/Ids.h>
#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// A query as a caller sent it, checked for form but not against any published map.
struct Query
{
    CallerId caller;
    /// Unique for the caller; equal ids of different callers are different requests.
    RequestId request;
    BackendId backend;
    /// Empty when the backend has one service.
    ServiceId service;
    /// Shards asked for by name. Empty, with an empty key range, means all shards.
    std::vector<ShardId> shards;
    /// Half-open key range; empty ends are open.
    std::string firstKey;
    std::string endKey;
    /// Opaque to the tier; never logged.
    std::string payload;
    /// Time left until the caller stops listening, counted from the receipt of the query.
    std::optional<Duration> deadline;
    Urgency urgency = Urgency::Normal;
    /// True when executing the query twice does no harm.
    bool isIdempotent = true;
    /// When the caller issued a non-idempotent request, by the caller's clock.
    std::optional<WallTime> issuedAt;
    /// Overrides the configured patience for missing shards.
    std::optional<Patience> patience;
    /// Most documents returned; zero means all.
    std::size_t limit = 0;

    bool operator==(const Query &) const = default;
};

/// One result. Documents are ordered by falling score, then by rising id.
struct Document
{
    DocumentId id;
    double score = 0;
    std::string body;

    bool operator==(const Document &) const = default;
};

enum class Outcome {
    /// Every shard asked for is in the answer.
    Answered,
    /// Some shards are missing; they are named.
    Partial,
    /// Nothing was executed.
    Refused,
    /// Whether the request was executed is not known.
    Unknown,
};

/// What part of the pinned partition map an answer stands for.
struct Coverage
{
    int asked = 0;
    int answered = 0;
    /// In the map's order.
    std::vector<ShardId> missing;

    bool operator==(const Coverage &) const = default;
};

/// Where the time of a query went, as far as the coordinator saw it.
struct Timings
{
    Duration queued{};
    Duration executing{};
    Duration total{};

    bool operator==(const Timings &) const = default;
};

/// The answer to a query, from one index snapshot.
struct Answer
{
    Outcome outcome = Outcome::Refused;
    RanState ran = RanState::NotRun;
    ErrorKind error = ErrorKind::None;
    /// For a person; never holds a payload.
    std::string errorText;
    SnapshotId snapshot;
    Coverage coverage;
    std::vector<Document> documents;
    Duration timeLeft{};
    Timings timings;
    /// Sub-requests sent beyond one for each shard.
    int extraSubRequests = 0;
    InstanceId coordinator;
    SectionVersion configuration;

    bool operator==(const Answer &) const = default;
};

/// Wire names: "answered", "partial", "refused", "unknown".
std::string_view nameOf(Outcome outcome);
std::optional<Outcome> outcomeNamed(std::string_view name);

/// Wire names: "bulk", "normal", "urgent".
std::string_view nameOf(Urgency urgency);
std::optional<Urgency> urgencyNamed(std::string_view name);

/// Wire names: "tail", "coverage".
std::string_view nameOf(Patience patience);
std::optional<Patience> patienceNamed(std::string_view name);

/// A refusal of the given kind: nothing ran, nothing is covered.
Answer refusal(ErrorKind kind, std::string text);

} // namespace oleander
