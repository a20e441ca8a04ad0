#include <oleander/decisions/request/RequestMemory.h>

#include <xxhash.h>

namespace oleander {

namespace {

/// Answers with more documents than this are stored without them.
constexpr std::size_t maximumReplayedDocuments = 1000;

AtMostOnceDecision refuse(Reason &reason, ErrorKind kind, std::string text)
{
    reason.set(kind, std::move(text));
    return {};
}

AtMostOnceDecision decideForRecorded(const RecordedRequest &known, Reason &reason)
{
    if (!known.answer)
        return refuse(reason, ErrorKind::AlreadyRan, "a request with this id is under way");
    AtMostOnceDecision decision;
    decision.action = AtMostOnceDecision::Action::Replay;
    decision.replay = known.answer;
    return decision;
}

/// Reduces an answer to the fact that the request was executed.
void dropDocuments(Answer &answer)
{
    answer.outcome = Outcome::Unknown;
    answer.error = ErrorKind::AlreadyRan;
    answer.errorText = "executed before; its documents are no longer held";
    answer.documents.clear();
    answer.coverage = Coverage{};
}

} // namespace

std::size_t RequestKeyHash::operator()(const RequestKey &key) const noexcept
{
    const std::string &caller = key.caller.text();
    const std::string &request = key.request.text();
    const XXH64_hash_t seed = XXH3_64bits(caller.data(), caller.size());
    return XXH3_64bits_withSeed(request.data(), request.size(), seed);
}

AtMostOnceDecision decideAtMostOnce(RequestMemory &memory, const Query &query, TimePoint now,
                                    WallTime wallNow, const Policy &policy, Reason &reason)
{
    const RequestKey key{query.caller, query.request};
    if (const auto known = memory.requests.find(key); known != memory.requests.end())
        return decideForRecorded(known->second, reason);
    if (!query.issuedAt) {
        return refuse(reason, ErrorKind::BadRequest,
                      "a non-idempotent request needs its time of issue");
    }
    if (*query.issuedAt > wallNow + maximumClockSkew)
        return refuse(reason, ErrorKind::BadRequest, "the time of issue is in the future");
    if (*query.issuedAt < memory.completeSince + maximumClockSkew) {
        return refuse(reason, ErrorKind::MemoryTooYoung,
                      "issued before this coordinator's memory is complete");
    }
    if (*query.issuedAt + policy.requestMemory < wallNow + maximumClockSkew) {
        return refuse(reason, ErrorKind::MemoryTooYoung,
                      "issued longer ago than requests are remembered");
    }
    memory.requests.emplace(key, RecordedRequest{now, std::nullopt});
    memory.oldestFirst.push_back(key);
    AtMostOnceDecision decision;
    decision.action = AtMostOnceDecision::Action::Run;
    return decision;
}

void noteRequestEnded(RequestMemory &memory, const RequestKey &key, const Answer &answer)
{
    const auto known = memory.requests.find(key);
    if (known == memory.requests.end())
        return;
    if (answer.ran == ExecutionState::NotRun) {
        memory.requests.erase(known);
        return;
    }
    known->second.answer = answer;
    if (answer.documents.size() > maximumReplayedDocuments)
        dropDocuments(*known->second.answer);
}

void expireRequests(RequestMemory &memory, TimePoint now, const Policy &policy)
{
    // Requests are kept longer than their time of issue is accepted, with a margin for clock skew,
    // so that a resent request is either found here or refused.
    const Duration keep = policy.requestMemory + 2 * maximumClockSkew;
    while (!memory.oldestFirst.empty()) {
        const auto oldest = memory.requests.find(memory.oldestFirst.front());
        if (oldest != memory.requests.end()) {
            if (now - oldest->second.since < keep)
                return;
            memory.requests.erase(oldest);
        }
        memory.oldestFirst.pop_front();
    }
}

} // namespace oleander
