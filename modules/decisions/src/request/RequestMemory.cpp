#include <oleander/decisions/request/RequestMemory.h>

#include <xxhash.h>

namespace oleander {

namespace {

/// Answers with more documents than this are stored without them.
constexpr std::size_t replayedDocuments = 1000;

AtMostOnceVerdict refuse(Reason &reason, ErrorKind kind, std::string text)
{
    reason.set(kind, std::move(text));
    return {};
}

AtMostOnceVerdict judgeKnown(const RememberedRequest &known, Reason &reason)
{
    if (!known.answer)
        return refuse(reason, ErrorKind::AlreadyRan, "a request with this id is under way");
    AtMostOnceVerdict verdict;
    verdict.action = AtMostOnceVerdict::Action::Replay;
    verdict.replay = known.answer;
    return verdict;
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

AtMostOnceVerdict judgeRequest(RequestMemory &memory, const Query &query, TimePoint now,
                               WallTime wallNow, const Policy &policy, Reason &reason)
{
    const RequestKey key{query.caller, query.request};
    if (const auto known = memory.requests.find(key); known != memory.requests.end())
        return judgeKnown(known->second, reason);
    if (!query.issuedAt) {
        return refuse(reason, ErrorKind::BadRequest,
                      "a non-idempotent request needs its time of issue");
    }
    if (*query.issuedAt > wallNow + clockDisagreement)
        return refuse(reason, ErrorKind::BadRequest, "the time of issue is in the future");
    if (*query.issuedAt < memory.completeSince + clockDisagreement) {
        return refuse(reason, ErrorKind::MemoryTooYoung,
                      "issued before this coordinator's memory is complete");
    }
    if (*query.issuedAt + policy.requestMemory < wallNow + clockDisagreement) {
        return refuse(reason, ErrorKind::MemoryTooYoung,
                      "issued longer ago than requests are remembered");
    }
    memory.requests.emplace(key, RememberedRequest{now, std::nullopt});
    memory.byAge.push_back(key);
    AtMostOnceVerdict verdict;
    verdict.action = AtMostOnceVerdict::Action::Run;
    return verdict;
}

void noteRequestEnded(RequestMemory &memory, const RequestKey &key, const Answer &answer)
{
    const auto known = memory.requests.find(key);
    if (known == memory.requests.end())
        return;
    if (answer.ran == RanState::NotRun) {
        memory.requests.erase(known);
        return;
    }
    known->second.answer = answer;
    if (answer.documents.size() > replayedDocuments)
        dropDocuments(*known->second.answer);
}

void forgetOldRequests(RequestMemory &memory, TimePoint now, const Policy &policy)
{
    // Requests are kept longer than their time of issue is accepted, with a margin for clock skew,
    // so that a resent request is either found here or refused.
    const Duration keep = policy.requestMemory + 2 * clockDisagreement;
    while (!memory.byAge.empty()) {
        const auto oldest = memory.requests.find(memory.byAge.front());
        if (oldest != memory.requests.end()) {
            if (now - oldest->second.since < keep)
                return;
            memory.requests.erase(oldest);
        }
        memory.byAge.pop_front();
    }
}

} // namespace oleander
