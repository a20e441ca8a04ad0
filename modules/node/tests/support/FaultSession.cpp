#include "FaultSession.h"

#include <algorithm>
#include <array>

namespace oleander::fakes {

namespace {

constexpr std::array stageNames{
    std::string_view("accepted"), std::string_view("planned"), std::string_view("forwarded"),
    std::string_view("queued"),   std::string_view("sent"),    std::string_view("part-answered"),
    std::string_view("answered"), std::string_view("merged"),  std::string_view("returned"),
};

/// Time from the observed query to the last background queries, and from these to the end of the
/// session.
constexpr Duration recoveryTime = seconds(4);
constexpr Duration finalQueryTime = seconds(3);
constexpr int backgroundQueryCount = 12;
constexpr Duration queryInterval = milliseconds(9);
constexpr int resends = 2;

/// The server that the observed query was last sent to, or one that may receive it if it was not
/// sent yet.
ServerId targetServer(TestFleet &fleet, const RequestId &request)
{
    const auto &sends = fleet.history().sends;
    for (auto send = sends.rbegin(); send != sends.rend(); ++send) {
        if (send->request.request == request)
            return send->server;
    }
    return fleet.server(1 + static_cast<int>(fleet.random().below(2)));
}

void submitBackgroundQueries(TestFleet &fleet, const std::string &prefix)
{
    for (int number = 0; number < backgroundQueryCount; ++number) {
        const std::string request = prefix + std::to_string(number);
        const int entry = static_cast<int>(fleet.random().below(4));
        const std::string caller = number % 2 == 0 ? "desk" : "studio";
        fleet.schedule(number * queryInterval, [&fleet, request, entry, caller, number] {
            const bool isNonIdempotent = number % 4 == 3;
            fleet.submit(entry,
                         isNonIdempotent ? fleet.nonIdempotentQuery(caller, request)
                                         : fleet.query(caller, request),
                         1);
        });
    }
}

Query observedQuery(const TestFleet &fleet, const FaultSession &session)
{
    const std::string request = "observed";
    return session.isIdempotent ? fleet.query("studio", request)
                                : fleet.nonIdempotentQuery("studio", request);
}

CheckOptions checkOptionsFor(const FaultSession &session)
{
    CheckOptions checkOptions;
    // With two leaving servers, a shard may have no replica left.
    const auto stopsServer = [](const FaultInjection &each) {
        return each.fault->name.starts_with("server") && each.fault->isPlannedStop;
    };
    const bool canLoseShard = std::ranges::count_if(session.injections, stopsServer) > 1;
    checkOptions.requiresCompleteAnswers = !canLoseShard;
    for (const FaultInjection &injection : session.injections)
        checkOptions.requiresCompleteAnswers =
            checkOptions.requiresCompleteAnswers && injection.fault->isPlannedStop;
    const FleetOptions options = session.isAmms ? ammsOptions() : fotolectorOptions();
    // One server at the first send and one more if the canary was slow, and the same number again
    // at a coordinator that has not received the crash notice yet.
    checkOptions.maximumCrashedServers = 4;
    for (const FaultInjection &injection : session.injections) {
        if (injection.fault->canMaskServerLoss)
            checkOptions.maximumCrashedServers = static_cast<std::size_t>(options.servers);
    }
    return checkOptions;
}

} // namespace

std::string_view nameOf(QueryStage stage)
{
    return stageNames[static_cast<std::size_t>(stage)];
}

FaultResult runFaultSession(const FaultSession &session, bool isTracing)
{
    TestFleet fleet(session.isAmms ? ammsOptions() : fotolectorOptions(), session.seed);
    History &history = fleet.history();
    history.isTracing = isTracing;
    fleet.servers().setCrashPayload(std::string(crashPayload));
    fleet.runFor(warmUpTime);
    submitBackgroundQueries(fleet, "before");
    fleet.runFor(milliseconds(60));

    const Query query = observedQuery(fleet, session);
    const int coordinator = coordinatorOf(fleet, 0, query);
    const int entry = (coordinator + 1) % fleet.daemons();
    history.shardsAsked = query.isIdempotent ? static_cast<std::size_t>(fleet.options().shards) : 1;
    FaultResult result;
    std::vector<bool> wasInjected(session.injections.size(), false);
    history.onStage = [&](QueryStage stage, const RequestId &request) {
        for (std::size_t index = 0; index < session.injections.size(); ++index) {
            const FaultInjection &injection = session.injections[index];
            if (request != query.request || injection.stage != stage)
                continue;
            wasInjected[index] = true;
            const FaultTarget target{fleet, entry, coordinator, targetServer(fleet, request)};
            fleet.schedule(Duration{}, [&history, target, &injection] {
                history.addTraceLine("FAULT " + std::string(injection.fault->name));
                injection.fault->inject(target);
            });
        }
    };
    fleet.submit(entry, query, resends);
    if (session.isSentTwice) {
        // Sends the query through another entry instance while the first attempt is in progress.
        const int second = (entry + 1) % fleet.daemons();
        fleet.schedule(milliseconds(2),
                       [&fleet, second, query] { fleet.submit(second, query, 1); });
    }
    fleet.runFor(milliseconds(20));
    submitBackgroundQueries(fleet, "after");
    fleet.runFor(recoveryTime);
    // From now on, a leaving server must not receive new requests.
    submitBackgroundQueries(fleet, "late");
    fleet.runFor(finalQueryTime);
    for (const bool isInjected : wasInjected)
        result.hasReachedAllStages = result.hasReachedAllStages && isInjected;
    result.violations = fleet.checkHistory(checkOptionsFor(session));
    result.trace = history.trace;
    return result;
}

std::string describe(const FaultSession &session)
{
    std::string text = session.isAmms ? "AMMS" : "Fotolector";
    text += session.isIdempotent ? " idempotent query" : " non-idempotent query";
    text += session.isSentTwice ? " sent twice" : "";
    text += " seed " + std::to_string(session.seed);
    for (const FaultInjection &injection : session.injections)
        text += ", " + std::string(injection.fault->name) + " at "
                + std::string(nameOf(injection.stage));
    return text;
}

} // namespace oleander::fakes
