#include "callers/StrictJson.h"

#include <oleander/adapters/callers/QueryCodec.h>

#include <cmath>

namespace oleander {

namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr double microsecondsInMillisecond = 1000.0;
/// The shortest deadline that can be told from none.
constexpr double minimumDeadlineMs = 0.001;
/// The last millisecond of the year 9999.
constexpr double maximumWallTimeMs = 253402300799999.0;
constexpr std::size_t unlimited = SIZE_MAX;

constexpr TextBounds requiredName{1, maximumQueryNameBytes};
constexpr TextBounds optionalName{0, maximumQueryNameBytes};
constexpr TextBounds keyText{0, maximumQueryKeyBytes, false};
constexpr TextBounds anyText{0, unlimited, false};

Duration durationOf(double value)
{
    return Duration(std::llround(value * microsecondsInMillisecond));
}

void readNames(StrictObject &object, Query &query)
{
    for (const std::string_view key : {"caller", "requestId", "backend"})
        object.required(key);
    query.caller = CallerId(object.text("caller", requiredName).value_or(""));
    query.request = RequestId(object.text("requestId", requiredName).value_or(""));
    query.backend = BackendId(object.text("backend", requiredName).value_or(""));
    query.service = ServiceId(object.text("service", optionalName).value_or(""));
}

void readScope(StrictObject &object, Query &query)
{
    for (std::string &shard : object.texts("shards", maximumNamedShards, requiredName))
        query.shards.emplace_back(std::move(shard));
    query.firstKey = object.text("firstKey", keyText).value_or("");
    query.endKey = object.text("endKey", keyText).value_or("");
    const bool hasRange = !query.firstKey.empty() || !query.endKey.empty();
    if (hasRange && !query.shards.empty())
        object.fail("shards", "must not be given together with a key range");
    if (!query.endKey.empty() && query.endKey <= query.firstKey)
        object.fail("endKey", "must be above firstKey; the range is empty");
}

void readTimes(StrictObject &object, Query &query)
{
    const NumberBounds deadline{minimumDeadlineMs, inMilliseconds(maximumQueryDeadline),
                                "milliseconds"};
    if (const auto value = object.number("deadlineMs", deadline))
        query.deadline = durationOf(*value);
    const NumberBounds wallTime{0, maximumWallTimeMs, "milliseconds since 1970-01-01 UTC"};
    if (const auto value = object.number("issuedAtMs", wallTime))
        query.issuedAt = WallTime(durationOf(*value));
}

void readManner(StrictObject &object, Query &query)
{
    query.payload = object.text("payload", anyText).value_or("");
    query.urgency = object.word("urgency", urgencyNamed).value_or(Urgency::Normal);
    query.isIdempotent = object.boolean("idempotent").value_or(true);
    query.patience = object.word("patience", patienceNamed);
    query.limit = object.count("limit", maximumQueryLimit).value_or(0);
}

ordered_json errorToJson(const Answer &answer)
{
    const ErrorAnswer &row = answerFor(answer.error);
    return {{"kind", row.name},
            {"text", answer.errorText.empty() ? std::string(row.text) : answer.errorText},
            {"mayRepeat", row.mayRepeat}};
}

ordered_json coverageToJson(const Coverage &coverage)
{
    ordered_json missing = ordered_json::array();
    for (const ShardId &shard : coverage.missing)
        missing.push_back(shard.text());
    return {{"asked", coverage.asked},
            {"answered", coverage.answered},
            {"missing", std::move(missing)}};
}

ordered_json documentsToJson(const std::vector<Document> &documents)
{
    // Members are assigned one by one: an initializer list would copy each value twice.
    ordered_json results = ordered_json::array();
    results.get_ref<ordered_json::array_t &>().reserve(documents.size());
    for (const Document &document : documents) {
        ordered_json &result = results.emplace_back(ordered_json::object());
        result["id"] = document.id.text();
        result["score"] = std::isfinite(document.score) ? document.score : 0.0;
        result["body"] = document.body;
    }
    return results;
}

std::string dump(const ordered_json &value)
{
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

// Reading answers

template <typename Value>
Value wordOf(const json &object, const char *key, std::optional<Value> (*named)(std::string_view))
{
    const auto value = named(object.at(key).get_ref<const std::string &>());
    if (!value)
        throw json::other_error::create(0, std::string("unknown word in ") + key, &object);
    return *value;
}

Duration durationIn(const json &object, const char *key)
{
    return durationOf(object.at(key).get<double>());
}

Answer answerOf(const json &object)
{
    Answer answer;
    answer.outcome = wordOf(object, "outcome", outcomeNamed);
    answer.ran = wordOf(object, "ran", executionStateNamed);
    answer.snapshot = SnapshotId(object.at("snapshot").get<std::uint64_t>());
    const json &coverage = object.at("coverage");
    answer.coverage.asked = coverage.at("asked").get<int>();
    answer.coverage.answered = coverage.at("answered").get<int>();
    for (const json &shard : coverage.at("missing"))
        answer.coverage.missing.emplace_back(shard.get<std::string>());
    for (const json &result : object.at("results")) {
        answer.documents.push_back({DocumentId(result.at("id").get<std::string>()),
                                    result.at("score").get<double>(),
                                    result.at("body").get<std::string>()});
    }
    const json &timings = object.at("timings");
    answer.timings = {durationIn(timings, "queuedMs"), durationIn(timings, "executingMs"),
                      durationIn(timings, "totalMs")};
    answer.timeLeft = durationIn(object, "timeLeftMs");
    answer.extraSubRequests = object.at("extraSubRequests").get<int>();
    answer.coordinator = InstanceId(object.at("coordinator").get<std::string>());
    answer.configuration = SectionVersion(object.at("configuration").get<std::uint64_t>());
    if (const auto error = object.find("error"); error != object.end()) {
        answer.error = wordOf(*error, "kind", errorKindNamed);
        answer.errorText = error->at("text").get<std::string>();
    }
    return answer;
}

} // namespace

std::optional<Query> queryFromJson(std::string_view text, Reason &reason)
{
    const std::optional<json> value = parseStrictJson(text, reason);
    if (!value)
        return std::nullopt;
    StrictObject object(*value, "$");
    Query query;
    readNames(object, query);
    readScope(object, query);
    readTimes(object, query);
    readManner(object, query);
    if (!object.finish(reason))
        return std::nullopt;
    return query;
}

std::string queryToJson(const Query &query)
{
    ordered_json value;
    value["caller"] = query.caller.text();
    value["requestId"] = query.request.text();
    value["backend"] = query.backend.text();
    if (!query.service.isEmpty())
        value["service"] = query.service.text();
    for (const ShardId &shard : query.shards)
        value["shards"].push_back(shard.text());
    if (!query.firstKey.empty())
        value["firstKey"] = query.firstKey;
    if (!query.endKey.empty())
        value["endKey"] = query.endKey;
    value["payload"] = query.payload;
    if (query.deadline)
        value["deadlineMs"] = inMilliseconds(*query.deadline);
    value["urgency"] = nameOf(query.urgency);
    value["idempotent"] = query.isIdempotent;
    if (query.issuedAt)
        value["issuedAtMs"] = inMilliseconds(query.issuedAt->time_since_epoch());
    if (query.patience)
        value["patience"] = nameOf(*query.patience);
    value["limit"] = query.limit;
    return dump(value);
}

std::string answerToJson(const Answer &answer)
{
    ordered_json value;
    value["outcome"] = nameOf(answer.outcome);
    value["ran"] = nameOf(answer.ran);
    value["snapshot"] = answer.snapshot.value();
    value["coverage"] = coverageToJson(answer.coverage);
    value["results"] = documentsToJson(answer.documents);
    value["timeLeftMs"] = inMilliseconds(answer.timeLeft);
    value["timings"] = {{"queuedMs", inMilliseconds(answer.timings.queued)},
                        {"executingMs", inMilliseconds(answer.timings.executing)},
                        {"totalMs", inMilliseconds(answer.timings.total)}};
    value["extraSubRequests"] = answer.extraSubRequests;
    value["coordinator"] = answer.coordinator.text();
    value["configuration"] = answer.configuration.value();
    if (answer.error != ErrorKind::None)
        value["error"] = errorToJson(answer);
    return dump(value);
}

std::optional<Answer> answerFromJson(std::string_view text, Reason &reason)
{
    const std::optional<json> value = parseStrictJson(text, reason);
    if (!value)
        return std::nullopt;
    try {
        return answerOf(*value);
    } catch (const json::exception &error) {
        reason.set(ErrorKind::BadRequest, std::string("no valid answer: ") + error.what());
        return std::nullopt;
    }
}

int httpStatusOf(const Answer &answer)
{
    constexpr int ok = 200;
    const bool hasResults =
        answer.outcome == Outcome::Answered || answer.outcome == Outcome::Partial;
    return hasResults ? ok : answerFor(answer.error).httpStatus;
}

} // namespace oleander
