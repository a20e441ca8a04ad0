#include <oleander/decisions/request/CrashMemory.h>
#include <oleander/decisions/request/RequestMemory.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace oleander;

namespace {

using Action = AtMostOnceVerdict::Action;

constexpr WallTime startOfDay{seconds(1'800'000'000)};

Answer endedWith(RanState ran)
{
    Answer answer;
    answer.ran = ran;
    answer.outcome = ran == RanState::Ran ? Outcome::Answered : Outcome::Unknown;
    return answer;
}

ServerId serverNumber(int number)
{
    return ServerId("server-" + std::to_string(number));
}

} // namespace

/// Requests are resent and the coordinator is restarted at random times, and clocks differ within
/// the assumed skew. Each request is executed at most once, also across restarts.
RC_GTEST_PROP(RequestMemory, AtMostOnceAcrossResendsAndRestarts, ())
{
    Policy policy;
    policy.requestMemory = seconds(60);
    RequestMemory memory;
    std::map<RequestId, int> runs;
    Duration elapsed = seconds(10);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int step : steps) {
        elapsed += milliseconds(*rc::gen::inRange(0, 4000));
        const TimePoint now{elapsed};
        const WallTime wallNow = startOfDay + elapsed;
        forgetOldRequests(memory, now, policy);
        if (step < 5) {
            memory = RequestMemory{};
            memory.completeSince = wallNow;
            continue;
        }
        // The time of issue is derived from the id, so that a resent request has the original one.
        const int newest = static_cast<int>(elapsed / seconds(3));
        const int number = std::max(0, newest - *rc::gen::element(0, 0, 0, 1, 1, 2, 30));
        const Duration issued = seconds(3 * number);
        Query query;
        query.caller = CallerId("studio");
        query.request = RequestId(std::to_string(number));
        query.isIdempotent = false;
        const Duration skew = milliseconds(number % 5 * 900 - 1800);
        query.issuedAt = startOfDay + issued + skew;
        Reason reason;
        const auto verdict = judgeRequest(memory, query, now, wallNow, policy, reason);
        if (verdict.action != Action::Run)
            continue;
        const bool isProvedNotRun = step < 20;
        runs[query.request] += isProvedNotRun ? 0 : 1;
        RC_ASSERT(runs[query.request] <= 1);
        if (step < 60)
            noteRequestEnded(memory, {query.caller, query.request},
                             endedWith(isProvedNotRun ? RanState::NotRun : RanState::MaybeRan));
        else if (isProvedNotRun)
            memory.requests.erase({query.caller, query.request});
    }
}

TEST(RequestMemory, EqualIdsOfDifferentCallersAreDifferentRequests)
{
    RequestMemory memory;
    memory.completeSince = startOfDay;
    Query query;
    query.request = RequestId("1");
    query.isIdempotent = false;
    query.issuedAt = startOfDay + seconds(10);
    const WallTime wallNow = startOfDay + seconds(10);
    Reason reason;
    for (const char *caller : {"studio-1", "studio-2"}) {
        query.caller = CallerId(caller);
        EXPECT_EQ(judgeRequest(memory, query, TimePoint{}, wallNow, Policy{}, reason).action,
                  Action::Run);
    }
    EXPECT_EQ(judgeRequest(memory, query, TimePoint{}, wallNow, Policy{}, reason).action,
              Action::Refuse);
    EXPECT_EQ(reason.kind, ErrorKind::AlreadyRan);
    noteRequestEnded(memory, {query.caller, query.request}, endedWith(RanState::Ran));
    EXPECT_EQ(judgeRequest(memory, query, TimePoint{}, wallNow, Policy{}, reason).action,
              Action::Replay);
}

TEST(RequestMemory, AReplayThatLostItsDocumentsDoesNotCallItselfWhole)
{
    RequestMemory memory;
    Query query;
    query.caller = CallerId("studio-1");
    query.request = RequestId("1");
    query.issuedAt = startOfDay + seconds(10);
    Reason reason;
    judgeRequest(memory, query, TimePoint{}, startOfDay + seconds(10), Policy{}, reason);
    Answer large = endedWith(RanState::Ran);
    large.documents.resize(5000);
    noteRequestEnded(memory, {query.caller, query.request}, large);
    const auto verdict =
        judgeRequest(memory, query, TimePoint{}, startOfDay + seconds(10), Policy{}, reason);
    ASSERT_EQ(verdict.action, Action::Replay);
    const bool isWhole = verdict.replay->documents.size() == 5000;
    EXPECT_TRUE(isWhole || verdict.replay->outcome != Outcome::Answered);
}

/// A query that crashes every server that executes it is sent repeatedly. It may crash at most one
/// server more than the policy allows.
RC_GTEST_PROP(CrashMemory, OneQueryCostsBoundedServers, ())
{
    Policy policy;
    policy.canary = true;
    policy.crashServerLimit = *rc::gen::inRange(1, 4);
    CrashMemory memory;
    const Fingerprint crasher(7);
    std::set<ServerId> lost;
    Duration elapsed = seconds(10);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5000));
    for (const int step : steps) {
        elapsed += milliseconds(step);
        const TimePoint now{elapsed};
        if (elapsed > seconds(10) + policy.crashRefusal)
            break;
        forgetOldCrashes(memory, now, policy);
        const CrashVerdict verdict = judgeFingerprint(memory, crasher, now, policy);
        RC_ASSERT(verdict != CrashVerdict::SendToAll);
        if (verdict == CrashVerdict::Refuse)
            continue;
        const ServerId server = serverNumber(static_cast<int>(lost.size()));
        lost.insert(server);
        std::vector<Fingerprint> suspects{crasher};
        // Other queries share the attribution unless the suspected query runs alone.
        if (verdict != CrashVerdict::CanaryAlone)
            suspects.resize(*rc::gen::inRange<std::size_t>(1, 4), Fingerprint(8));
        noteServerLost(memory, server, suspects, now);
    }
    RC_ASSERT(lost.size() <= static_cast<std::size_t>(policy.crashServerLimit) + 1);
}

/// All servers of a rack are lost with many queries in flight. Queries that other servers have
/// executed without crashing are not refused.
RC_GTEST_PROP(CrashMemory, ALostRackRefusesNoHarmlessQuery, ())
{
    Policy policy;
    policy.crashServerLimit = *rc::gen::inRange(1, 4);
    CrashMemory memory;
    const TimePoint now{seconds(10)};
    const auto queries = *rc::gen::inRange<std::uint64_t>(2, 30);
    std::vector<Fingerprint> inFlight;
    for (std::uint64_t number = 1; number <= queries; ++number) {
        inFlight.emplace_back(number);
        noteHarmless(memory, Fingerprint(number), now, policy);
    }
    const auto servers = *rc::gen::inRange(1, 20);
    for (int server = 0; server < servers; ++server)
        noteServerLost(memory, serverNumber(server), inFlight, now + milliseconds(server));
    for (const Fingerprint fingerprint : inFlight) {
        RC_ASSERT(judgeFingerprint(memory, fingerprint, now + milliseconds(30), policy)
                  != CrashVerdict::Refuse);
    }
}
