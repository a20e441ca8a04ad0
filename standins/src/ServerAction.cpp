#include "ServerAction.h"

namespace oleander::standins {

namespace {

using Action = std::function<void(ServerStandin &)>;

/// Actions without arguments.
const std::map<std::string, void (ServerStandin::*)()> &plainActions()
{
    static const std::map<std::string, void (ServerStandin::*)()> actions{
        {"kill", &ServerStandin::kill},
        {"revive", &ServerStandin::revive},
        {"freeze", &ServerStandin::freeze},
        {"thaw", &ServerStandin::thaw},
        {"silence", &ServerStandin::silenceOpenConnections},
    };
    return actions;
}

/// Actions that switch one fault on or off.
const std::map<std::string, bool ServerFaults::*> &switches()
{
    static const std::map<std::string, bool ServerFaults::*> members{
        {"drain", &ServerFaults::isDraining},
        {"shed", &ServerFaults::isShedding},
        {"otherSnapshot", &ServerFaults::answersOtherSnapshot},
    };
    return members;
}

Action changeFaults(std::function<void(ServerFaults &)> change)
{
    return [change = std::move(change)](ServerStandin &server) {
        auto faults = server.faults();
        change(faults);
        server.setFaults(faults);
    };
}

std::optional<Action> reportAction(const Target &action)
{
    const auto mode = action.arguments.find("mode");
    if (mode == action.arguments.end())
        return std::nullopt;
    const auto report = loadReportNamed(mode->second);
    if (!report)
        return std::nullopt;
    return [report](ServerStandin &server) { server.setLoadReport(*report); };
}

std::optional<Action> valueAction(const Target &action)
{
    const auto percent = action.number("percent");
    if (action.path == "slow" && percent) {
        return changeFaults(
            [percent](ServerFaults &faults) { faults.slowPercent = static_cast<int>(*percent); });
    }
    const auto oldest = action.number("oldest");
    const auto newest = action.number("newest");
    if (action.path == "snapshots" && oldest && newest) {
        return changeFaults([oldest, newest](ServerFaults &faults) {
            faults.oldestSnapshot = *oldest;
            faults.newestSnapshot = *newest;
        });
    }
    return std::nullopt;
}

} // namespace

std::optional<Action> serverAction(const Target &action)
{
    const auto plain = plainActions().find(action.path);
    if (plain != plainActions().end()) {
        const auto member = plain->second;
        return [member](ServerStandin &server) { (server.*member)(); };
    }
    const auto found = switches().find(action.path);
    const auto on = action.number("on");
    if (found != switches().end() && on) {
        const auto member = found->second;
        return changeFaults([member, on](ServerFaults &faults) { faults.*member = *on != 0; });
    }
    if (action.path == "report")
        return reportAction(action);
    return valueAction(action);
}

} // namespace oleander::standins
