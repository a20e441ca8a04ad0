#include "FaultSession.h"

#include <algorithm>
#include <array>

namespace oleander::fakes {

namespace {

constexpr std::array stepNames{
    std::string_view("accepted"), std::string_view("planned"), std::string_view("forwarded"),
    std::string_view("queued"),   std::string_view("sent"),    std::string_view("part-answered"),
    std::string_view("answered"), std::string_view("merged"),  std::string_view("returned"),
};

/// From the observed query to the last queries, and from these to the end of the session.
constexpr Duration healingTime = seconds(4);
constexpr Duration lastAnswers = seconds(3);
constexpr int otherQueries = 12;
constexpr Duration betweenQueries = milliseconds(9);
constexpr int resends = 2;

/// The server that the observed query was last sent to; before that, one that may get it.
ServerId struckServer(TestFleet &fleet, const RequestId &request)
{
    const auto &sends = fleet.history().sends;
    for (auto send = sends.rbegin(); send != sends.rend(); ++send) {
        if (send->request.request == request)
            return send->server;
    }
    return fleet.server(1 + static_cast<int>(fleet.random().below(2)));
}

void submitOthers(TestFleet &fleet, const std::string &prefix)
{
    for (int number = 0; number < otherQueries; ++number) {
        const std::string request = prefix + std::to_string(number);
        const int entry = static_cast<int>(fleet.random().below(4));
        const std::string caller = number % 2 == 0 ? "desk" : "studio";
        fleet.later(number * betweenQueries, [&fleet, request, entry, caller, number] {
            const bool isClaim = number % 4 == 3;
            fleet.submit(entry,
                         isClaim ? fleet.claim(caller, request) : fleet.query(caller, request), 1);
        });
    }
}

Query observedQuery(const TestFleet &fleet, const FaultSession &session)
{
    const std::string request = "observed";
    return session.isIdempotent ? fleet.query("studio", request) : fleet.claim("studio", request);
}

JudgeRules rulesFor(const FaultSession &session)
{
    JudgeRules rules;
    // With two leaving servers a shard may have no replica left.
    const auto leavesServer = [](const Strike &each) {
        return each.fault->name.starts_with("server") && each.fault->isPlanned;
    };
    const bool mayLoseShard = std::ranges::count_if(session.strikes, leavesServer) > 1;
    rules.isEveryAnswerWhole = !mayLoseShard;
    for (const Strike &strike : session.strikes)
        rules.isEveryAnswerWhole = rules.isEveryAnswerWhole && strike.fault->isPlanned;
    const FleetShape shape = session.isAmms ? ammsShape() : fotolectorShape();
    // One at its first sending, one more when the canary was slow, and the same at a coordinator
    // that had not heard of it yet.
    rules.crashLimit = 4;
    for (const Strike &strike : session.strikes) {
        if (strike.fault->hidesLoss)
            rules.crashLimit = static_cast<std::size_t>(shape.servers);
    }
    return rules;
}

} // namespace

std::string_view nameOf(Step step)
{
    return stepNames[static_cast<std::size_t>(step)];
}

FaultResult runFaultSession(const FaultSession &session, bool isTracing)
{
    TestFleet fleet(session.isAmms ? ammsShape() : fotolectorShape(), session.seed);
    History &history = fleet.history();
    history.isTracing = isTracing;
    fleet.servers().setCrashPayload(std::string(crashPayload));
    fleet.runFor(warmUp);
    submitOthers(fleet, "before");
    fleet.runFor(milliseconds(60));

    const Query query = observedQuery(fleet, session);
    const int coordinator = coordinatorOf(fleet, 0, query);
    const int entry = (coordinator + 1) % fleet.daemons();
    history.shardsAsked = query.isIdempotent ? static_cast<std::size_t>(fleet.shape().shards) : 1;
    FaultResult result;
    std::vector<bool> isStruck(session.strikes.size(), false);
    history.onStep = [&](Step step, const RequestId &request) {
        for (std::size_t index = 0; index < session.strikes.size(); ++index) {
            const Strike &strike = session.strikes[index];
            if (request != query.request || strike.step != step)
                continue;
            isStruck[index] = true;
            const FaultTarget target{fleet, entry, coordinator, struckServer(fleet, request)};
            fleet.later(Duration{}, [&history, target, &strike] {
                history.note("FAULT " + std::string(strike.fault->name));
                strike.fault->strike(target);
            });
        }
    };
    fleet.submit(entry, query, resends);
    if (session.isImpatient) {
        // Sent again through another entry while the first is under way.
        const int second = (entry + 1) % fleet.daemons();
        fleet.later(milliseconds(2), [&fleet, second, query] { fleet.submit(second, query, 1); });
    }
    fleet.runFor(milliseconds(20));
    submitOthers(fleet, "after");
    fleet.runFor(healingTime);
    // By now a server that leaves must get nothing any more.
    submitOthers(fleet, "late");
    fleet.runFor(lastAnswers);
    for (const bool struck : isStruck)
        result.isReached = result.isReached && struck;
    result.broken = fleet.verdict(rulesFor(session));
    result.trace = history.trace;
    return result;
}

std::string describe(const FaultSession &session)
{
    std::string text = session.isAmms ? "AMMS" : "Fotolector";
    text += session.isIdempotent ? " query" : " claim";
    text += session.isImpatient ? " sent twice" : "";
    text += " seed " + std::to_string(session.seed);
    for (const Strike &strike : session.strikes)
        text += ", " + std::string(strike.fault->name) + " at " + std::string(nameOf(strike.step));
    return text;
}

} // namespace oleander::fakes
