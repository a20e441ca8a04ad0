#pragma once

#include <oleander/core/ErrorKind.h>
#include <oleander/core/Ids.h>
#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// A query as received from a caller. Its syntax has been checked, but not whether the backend,
/// service and shards that it names exist.
struct Query
{
    CallerId caller;
    /// Unique per caller; equal ids of different callers denote different requests.
    RequestId request;
    BackendId backend;
    /// May be empty when the backend has one service only.
    ServiceId service;
    /// Requested shards. If empty, the key range selects the shards.
    std::vector<ShardId> shards;
    /// Half-open key range; an empty bound means that the range is unbounded on that side.
    std::string firstKey;
    std::string endKey;
    /// Opaque to the query tier; never logged.
    std::string payload;
    /// Time that the caller waits for the answer, counted from the receipt of the query.
    std::optional<Duration> deadline;
    Urgency urgency = Urgency::Normal;
    /// True when the query may be executed more than once.
    bool isIdempotent = true;
    /// When the caller issued a non-idempotent request, by the caller's clock.
    std::optional<WallTime> issuedAt;
    /// Overrides Policy::patience.
    std::optional<Patience> patience;
    /// Maximum number of documents in the answer; zero means no limit.
    std::size_t limit = 0;

    bool operator==(const Query &) const = default;
};

/// One result. Documents are sorted by descending score, then by ascending id.
struct Document
{
    DocumentId id;
    double score = 0;
    std::string body;

    bool operator==(const Document &) const = default;
};

enum class Outcome {
    /// The answer covers all requested shards.
    Answered,
    /// Some shards did not answer; Coverage::missing lists them.
    Partial,
    /// The request was not executed.
    Refused,
    /// It is not known whether the request was executed.
    Unknown,
};

/// How many of the requested shards an answer covers, according to the query's partition map.
struct Coverage
{
    int asked = 0;
    int answered = 0;
    /// In the order of the partition map.
    std::vector<ShardId> missing;

    bool operator==(const Coverage &) const = default;
};

/// Time that a query spent in each phase, measured at the coordinator.
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
    ExecutionState ran = ExecutionState::NotRun;
    ErrorKind error = ErrorKind::None;
    /// Human-readable; never contains a payload.
    std::string errorText;
    SnapshotId snapshot;
    Coverage coverage;
    std::vector<Document> documents;
    Duration timeLeft{};
    Timings timings;
    /// Retries and hedges: sub-requests sent in addition to one per shard.
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

/// An answer with Outcome::Refused: the query was not executed and no shard is covered.
Answer refusal(ErrorKind kind, std::string text);

} // namespace oleander
