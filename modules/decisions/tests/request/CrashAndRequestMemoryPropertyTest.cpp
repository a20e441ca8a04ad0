#include <oleander/decisions/request/CrashMemory.h>
#include <oleander/decisions/request/RequestMemory.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace oleander;

namespace {

using Action = AtMostOnceDecision::Action;

constexpr WallTime wallStart{seconds(1'800'000'000)};

Answer answerWith(ExecutionState ran)
{
    Answer answer;
    answer.ran = ran;
    answer.outcome = ran == ExecutionState::Ran ? Outcome::Answered : Outcome::Unknown;
    return answer;
}

ServerId numberedServer(int number)
{
    return ServerId("server-" + std::to_string(number));
}

} // namespace

/// Requests are resent and the coordinator is restarted at random times, and clocks differ within
/// the assumed skew. Each request is executed at most once, also across restarts.
RC_GTEST_PROP(RequestMemory, RequestIsExecutedAtMostOnceAcrossResendsAndRestarts, ())
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
        const WallTime wallNow = wallStart + elapsed;
        expireRequests(memory, now, policy);
        if (step < 5) {
            memory = RequestMemory{};
            memory.completeSince = wallNow;
            continue;
        }
        // The time of issue is derived from the id, so that a resent request has the original one.
        const int newestNumber = static_cast<int>(elapsed / seconds(3));
        const int number = std::max(0, newestNumber - *rc::gen::element(0, 0, 0, 1, 1, 2, 30));
        const Duration issued = seconds(3 * number);
        Query query;
        query.caller = CallerId("studio");
        query.request = RequestId(std::to_string(number));
        query.isIdempotent = false;
        const Duration skew = milliseconds(number % 5 * 900 - 1800);
        query.issuedAt = wallStart + issued + skew;
        Reason reason;
        const auto decision = decideAtMostOnce(memory, query, now, wallNow, policy, reason);
        if (decision.action != Action::Run)
            continue;
        const bool isKnownNotRun = step < 20;
        runs[query.request] += isKnownNotRun ? 0 : 1;
        RC_ASSERT(runs[query.request] <= 1);
        if (step < 60)
            noteRequestEnded(
                memory, {query.caller, query.request},
                answerWith(isKnownNotRun ? ExecutionState::NotRun : ExecutionState::MaybeRan));
        else if (isKnownNotRun)
            memory.requests.erase({query.caller, query.request});
    }
}

TEST(RequestMemory, EqualIdsOfDifferentCallersAreDifferentRequests)
{
    RequestMemory memory;
    memory.completeSince = wallStart;
    Query query;
    query.request = RequestId("1");
    query.isIdempotent = false;
    query.issuedAt = wallStart + seconds(10);
    const WallTime wallNow = wallStart + seconds(10);
    Reason reason;
    for (const char *caller : {"studio-1", "studio-2"}) {
        query.caller = CallerId(caller);
        EXPECT_EQ(decideAtMostOnce(memory, query, TimePoint{}, wallNow, Policy{}, reason).action,
                  Action::Run);
    }
    EXPECT_EQ(decideAtMostOnce(memory, query, TimePoint{}, wallNow, Policy{}, reason).action,
              Action::Refuse);
    EXPECT_EQ(reason.kind, ErrorKind::AlreadyRan);
    noteRequestEnded(memory, {query.caller, query.request}, answerWith(ExecutionState::Ran));
    EXPECT_EQ(decideAtMostOnce(memory, query, TimePoint{}, wallNow, Policy{}, reason).action,
              Action::Replay);
}

TEST(RequestMemory, ReplayWithoutDocumentsIsNotReportedAsAnswered)
{
    RequestMemory memory;
    Query query;
    query.caller = CallerId("studio-1");
    query.request = RequestId("1");
    query.issuedAt = wallStart + seconds(10);
    Reason reason;
    decideAtMostOnce(memory, query, TimePoint{}, wallStart + seconds(10), Policy{}, reason);
    Answer large = answerWith(ExecutionState::Ran);
    large.documents.resize(5000);
    noteRequestEnded(memory, {query.caller, query.request}, large);
    const auto decision =
        decideAtMostOnce(memory, query, TimePoint{}, wallStart + seconds(10), Policy{}, reason);
    ASSERT_EQ(decision.action, Action::Replay);
    const bool hasAllDocuments = decision.replay->documents.size() == 5000;
    EXPECT_TRUE(hasAllDocuments || decision.replay->outcome != Outcome::Answered);
}

/// A query that crashes every server that executes it is sent repeatedly. It may crash at most one
/// server more than the policy allows.
RC_GTEST_PROP(CrashMemory, QueryCrashesALimitedNumberOfServers, ())
{
    Policy policy;
    policy.canary = true;
    policy.crashServerLimit = *rc::gen::inRange(1, 4);
    CrashMemory memory;
    const Fingerprint crashingQuery(7);
    std::set<ServerId> lostServers;
    Duration elapsed = seconds(10);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5000));
    for (const int step : steps) {
        elapsed += milliseconds(step);
        const TimePoint now{elapsed};
        if (elapsed > seconds(10) + policy.crashRefusal)
            break;
        expireCrashRecords(memory, now, crashRulesOf(policy));
        const DispatchDecision decision =
            decideDispatch(memory, crashingQuery, now, crashRulesOf(policy));
        RC_ASSERT(decision != DispatchDecision::SendToAll);
        if (decision == DispatchDecision::Refuse)
            continue;
        const ServerId server = numberedServer(static_cast<int>(lostServers.size()));
        lostServers.insert(server);
        std::vector<Fingerprint> suspects{crashingQuery};
        // Other queries share the attribution unless the suspected query runs alone.
        if (decision != DispatchDecision::CanaryAlone)
            suspects.resize(*rc::gen::inRange<std::size_t>(1, 4), Fingerprint(8));
        noteServerLost(memory, server, suspects, now);
    }
    RC_ASSERT(lostServers.size() <= static_cast<std::size_t>(policy.crashServerLimit) + 1);
}

/// All servers of a rack are lost with many queries in flight. Queries that other servers have
/// executed without crashing are not refused.
RC_GTEST_PROP(CrashMemory, HarmlessQueriesAreNotRefusedAfterLossOfARack, ())
{
    Policy policy;
    policy.crashServerLimit = *rc::gen::inRange(1, 4);
    CrashMemory memory;
    const TimePoint now{seconds(10)};
    const auto queries = *rc::gen::inRange<std::uint64_t>(2, 30);
    std::vector<Fingerprint> inFlight;
    for (std::uint64_t number = 1; number <= queries; ++number) {
        inFlight.emplace_back(number);
        noteHarmless(memory, Fingerprint(number), now, crashRulesOf(policy));
    }
    const auto servers = *rc::gen::inRange(1, 20);
    for (int server = 0; server < servers; ++server)
        noteServerLost(memory, numberedServer(server), inFlight, now + milliseconds(server));
    for (const Fingerprint fingerprint : inFlight) {
        RC_ASSERT(decideDispatch(memory, fingerprint, now + milliseconds(30), crashRulesOf(policy))
                  != DispatchDecision::Refuse);
    }
}
