#pragma once

#include <oleander/core/Query.h>
#include <oleander/core/Reason.h>

#include <optional>
#include <string>
#include <string_view>

namespace oleander {

/// Longest name (caller, request id, backend, service, shard) in a query, in bytes.
constexpr std::size_t maximumQueryNameBytes = 128;
/// Longest key of a key range, in bytes.
constexpr std::size_t maximumQueryKeyBytes = 1024;
/// Most shards that one query may name.
constexpr std::size_t maximumNamedShards = 4096;
/// Most documents that one query may ask for.
constexpr std::size_t maximumQueryLimit = 1000000;
/// Longest deadline that is read; the policy in force sets a lower one.
constexpr Duration maximumQueryDeadline = std::chrono::hours(1);

/// Reads a query as callers send it, the body of `POST /v1/query`:
///
///     {"caller", "requestId", "backend", "service", "shards": [..], "firstKey", "endKey",
///      "payload", "deadlineMs", "urgency", "idempotent", "issuedAtMs", "patience", "limit"}
///
/// Only caller, requestId and backend are required. Times are milliseconds and may have a fraction.
/// Unknown and repeated keys, wrong types, values out of range, shards together with a key range
/// and an empty key range are refused; the reason names the JSON path.
std::optional<Query> queryFromJson(std::string_view text, Reason &reason);

/// Writes a query as queryFromJson() reads it. Bytes that are no UTF-8 are replaced by U+FFFD.
std::string queryToJson(const Query &query);

/// Writes an answer as callers receive it:
///
///     {"outcome", "ran", "snapshot", "coverage": {"asked", "answered", "missing": [..]},
///      "results": [{"id", "score", "body"}], "timeLeftMs",
///      "timings": {"queuedMs", "executingMs", "totalMs"}, "extraSubRequests", "coordinator",
///      "configuration", "error": {"kind", "text", "mayRepeat"}}
///
/// The error is left out when there is none. Bytes that are no UTF-8 are replaced by U+FFFD, and a
/// score that is no finite number is written as 0.
std::string answerToJson(const Answer &answer);

/// Reads an answer, for tools that are callers. Keys that it does not know are ignored, so that a
/// tool understands a newer daemon.
std::optional<Answer> answerFromJson(std::string_view text, Reason &reason);

/// The HTTP status of an answer.
int httpStatusOf(const Answer &answer);

} // namespace oleander
