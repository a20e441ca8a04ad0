#pragma once

#include <oleander/core/Query.h>

#include <rapidcheck.h>

#include <set>
#include <string>

namespace oleander::generators {

inline rc::Gen<std::string> text(std::size_t minimum, std::size_t maximum)
{
    return rc::gen::mapcat(
        rc::gen::inRange<std::size_t>(minimum, maximum + 1), [](std::size_t size) {
            return rc::gen::container<std::string>(size, rc::gen::inRange<char>(0x20, 0x7f));
        });
}

inline rc::Gen<Duration> duration()
{
    return rc::gen::map(rc::gen::inRange<std::int64_t>(1, 3600000000),
                        [](std::int64_t value) { return Duration(value); });
}

template <typename Value>
rc::Gen<std::optional<Value>> optional(rc::Gen<Value> value)
{
    return rc::gen::map(rc::gen::maybe(std::move(value)), [](const rc::Maybe<Value> &maybe) {
        return maybe ? std::optional<Value>(*maybe) : std::nullopt;
    });
}

inline std::vector<ShardId> shards()
{
    std::vector<ShardId> result;
    for (const std::string &name : *rc::gen::container<std::set<std::string>>(text(1, 8)))
        result.emplace_back(name);
    return result;
}

/// A query that a caller may send.
inline Query query()
{
    Query query;
    query.caller = CallerId(*text(1, 20));
    query.request = RequestId(*text(1, 20));
    query.backend = BackendId(*text(1, 20));
    query.service = ServiceId(*text(0, 20));
    if (*rc::gen::arbitrary<bool>()) {
        query.shards = shards();
    } else {
        query.firstKey = *text(0, 5);
        query.endKey = query.firstKey + *text(1, 5);
    }
    query.payload = *text(0, 60);
    query.deadline = *optional(duration());
    query.urgency = *rc::gen::element(Urgency::Bulk, Urgency::Normal, Urgency::Urgent);
    query.isIdempotent = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>())
        query.issuedAt = WallTime(Duration(*rc::gen::inRange<std::int64_t>(0, 4102444800000000)));
    query.patience = *optional(rc::gen::element(Patience::Tail, Patience::Coverage));
    query.limit = *rc::gen::inRange<std::size_t>(0, 1000001);
    return query;
}

inline Answer answer()
{
    Answer answer;
    answer.outcome =
        *rc::gen::element(Outcome::Answered, Outcome::Partial, Outcome::Refused, Outcome::Unknown);
    answer.ran =
        *rc::gen::element(ExecutionState::NotRun, ExecutionState::MaybeRan, ExecutionState::Ran);
    answer.error =
        static_cast<ErrorKind>(*rc::gen::inRange(0, static_cast<int>(ErrorKind::Internal) + 1));
    answer.errorText = answer.error == ErrorKind::None ? "" : *text(1, 20);
    answer.snapshot = SnapshotId(*rc::gen::arbitrary<std::uint64_t>());
    answer.coverage = {*rc::gen::inRange(0, 5000), *rc::gen::inRange(0, 5000), shards()};
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        answer.documents.push_back({DocumentId(*text(0, 9)),
                                    static_cast<double>(*rc::gen::arbitrary<float>()),
                                    *text(0, 30)});
    }
    answer.timeLeft = *duration();
    answer.timings = {*duration(), *duration(), *duration()};
    answer.extraSubRequests = *rc::gen::inRange(0, 100);
    answer.coordinator = InstanceId(*text(0, 9));
    answer.configuration = SectionVersion(*rc::gen::arbitrary<std::uint64_t>());
    return answer;
}

} // namespace oleander::generators
