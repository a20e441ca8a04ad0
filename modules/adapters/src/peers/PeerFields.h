#pragma once

#include "peers/PackedRegistryChanges.h"

#include <oleander/ports/PeerMessage.h>

#include <concepts>
#include <type_traits>

namespace oleander::fields {

/// True for T and const T.
template <typename Given, typename T>
concept Is = std::same_as<std::remove_const_t<Given>, T>;

// One function for each message lists its members, for both encoding and decoding. The structured
// bindings fail to compile if a member is added to the message but not listed here.

template <Is<Document> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[id, score, body] = message;
    visitor("id", id);
    visitor("score", score);
    visitor("body", body);
}

template <Is<Coverage> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[asked, answered, missing] = message;
    visitor("asked", asked);
    visitor("answered", answered);
    visitor("missing", missing);
}

template <Is<Timings> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[queued, executing, total] = message;
    visitor("queued", queued);
    visitor("executing", executing);
    visitor("total", total);
}

template <Is<Query> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[caller, request, backend, service, shards, firstKey, endKey, payload, deadline, urgency,
           isIdempotent, issuedAt, patience, limit] = message;
    visitor("caller", caller);
    visitor("request", request);
    visitor("backend", backend);
    visitor("service", service);
    visitor("shards", shards);
    visitor("firstKey", firstKey);
    visitor("endKey", endKey);
    visitor("payload", payload);
    visitor("deadline", deadline);
    visitor("urgency", urgency);
    visitor("idempotent", isIdempotent);
    visitor("issuedAt", issuedAt);
    visitor("patience", patience);
    visitor("limit", limit);
}

template <Is<Answer> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[outcome, ran, error, errorText, snapshot, coverage, documents, timeLeft, timings,
           extraSubRequests, coordinator, configuration] = message;
    visitor("outcome", outcome);
    visitor("ran", ran);
    visitor("error", error);
    visitor("errorText", errorText);
    visitor("snapshot", snapshot);
    visitor("coverage", coverage);
    visitor("documents", documents);
    visitor("timeLeft", timeLeft);
    visitor("timings", timings);
    visitor("extra", extraSubRequests);
    visitor("coordinator", coordinator);
    visitor("configuration", configuration);
}

template <Is<PeerQuery> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[from, query, timeLeft, instanceList, partitionMap] = message;
    visitor("from", from);
    visitor("query", query);
    visitor("timeLeft", timeLeft);
    visitor("instanceList", instanceList);
    visitor("partitionMap", partitionMap);
}

template <Is<PeerAnswer> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[answer, instanceList, partitionMap] = message;
    visitor("answer", answer);
    visitor("instanceList", instanceList);
    visitor("partitionMap", partitionMap);
}

template <Is<SectionSummary> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[name, version, digest] = message;
    visitor("name", name);
    visitor("version", version);
    visitor("digest", digest);
}

template <Is<Section> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[summary, body] = message;
    visitor("summary", summary);
    visitor("body", body);
}

template <Is<CrashNotice> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[service, fingerprint, server, age] = message;
    visitor("service", service);
    visitor("fingerprint", fingerprint);
    visitor("server", server);
    visitor("age", age);
}

template <Is<ViewExchange> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[from, heldDigest, statesHeld, held, wanted, newer, crashes, platformAge, isStopping] =
        message;
    visitor("from", from);
    visitor("heldDigest", heldDigest);
    visitor("statesHeld", statesHeld);
    visitor("held", held);
    visitor("wanted", wanted);
    visitor("newer", newer);
    visitor("crashes", crashes);
    visitor("platformAge", platformAge);
    visitor("stopping", isStopping);
}

template <Is<RegistryPosition> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[epoch, revision] = message;
    visitor("epoch", epoch);
    visitor("revision", revision);
}

template <Is<RegistryChangesRequest> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[after, wait] = message;
    visitor("after", after);
    visitor("wait", wait);
}

template <Is<RegistryItem> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[key, value, isRemoved] = message;
    visitor("key", key);
    visitor("value", value);
    visitor("removed", isRemoved);
}

template <Is<RegistryChanges> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[isKnown, items, position, age] = message;
    visitor("known", isKnown);
    visitor("items", items);
    visitor("position", position);
    visitor("age", age);
}

template <Is<PackedRegistryChanges> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[isKnown, items, position, age] = message;
    visitor("known", isKnown);
    visitor("items", items);
    visitor("position", position);
    visitor("age", age);
}

template <Is<PeerField> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[name, value] = message;
    visitor("name", name);
    visitor("value", value);
}

template <Is<GatherRules> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[route, shards, recordLimit, minimumShare, maximumAttempts, priority, objective] =
        message;
    visitor("route", route);
    visitor("shards", shards);
    visitor("recordLimit", recordLimit);
    visitor("minimumShare", minimumShare);
    visitor("maximumAttempts", maximumAttempts);
    visitor("priority", priority);
    visitor("objective", objective);
}

template <Is<PeerGather> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[from, request, method, target, host, fields, body, rulesDigest, rules, shards,
           minimumParts, timeLeft, replyWithin, isRerun] = message;
    visitor("from", from);
    visitor("request", request);
    visitor("method", method);
    visitor("target", target);
    visitor("host", host);
    visitor("fields", fields);
    visitor("body", body);
    visitor("rulesDigest", rulesDigest);
    visitor("rules", rules);
    visitor("shards", shards);
    visitor("minimumParts", minimumParts);
    visitor("timeLeft", timeLeft);
    visitor("replyWithin", replyWithin);
    visitor("rerun", isRerun);
}

template <Is<ShardReceipt> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[shard, receipt] = message;
    visitor("shard", shard);
    visitor("receipt", receipt);
}

template <Is<PeerGatherReply> T, typename Visitor>
void visit(T &message, Visitor &&visitor)
{
    auto &[needsRules, isBusy, status, fields, body, receipts, missingShards, elapsed,
           activeGathers] = message;
    visitor("needsRules", needsRules);
    visitor("busy", isBusy);
    visitor("status", status);
    visitor("fields", fields);
    visitor("body", body);
    visitor("receipts", receipts);
    visitor("missing", missingShards);
    visitor("elapsed", elapsed);
    visitor("active", activeGathers);
}

/// A type whose members visit() lists.
template <typename T>
concept Message = requires(T &message)
{
    visit(message, [](const char *, auto &) {});
};

} // namespace oleander::fields
