#include <oleander/bench/Scenario.h>

namespace oleander::bench {

namespace {

Scenario base(const char *name, const char *meaning, int loadPercent)
{
    Scenario scenario;
    scenario.name = name;
    scenario.meaning = meaning;
    scenario.loadPercent = loadPercent;
    return scenario;
}

Scenario calm(const char *name, int loadPercent, bool isCompared)
{
    auto scenario = base(name, "nothing wrong", loadPercent);
    scenario.isCompared = isCompared;
    return scenario;
}

Scenario stragglers(const char *name, int loadPercent, bool isShort)
{
    auto scenario = base(name, "1 in 100 sub-requests ten times slower", loadPercent);
    scenario.stragglers = 10;
    scenario.isShort = isShort;
    scenario.isCompared = isShort;
    return scenario;
}

/// Load at which the other server of a pair can take over: 80 in 100 of what is left.
constexpr int loadWithoutAServer = 40;

Scenario withServers(const char *name, const char *meaning, int loadPercent,
                     std::vector<std::pair<Duration, std::string>> actions)
{
    auto scenario = base(name, meaning, loadPercent);
    scenario.serverActions = std::move(actions);
    return scenario;
}

Scenario withDaemons(const char *name, const char *meaning, std::vector<DaemonAction> actions)
{
    auto scenario = base(name, meaning, 60);
    scenario.daemonActions = std::move(actions);
    return scenario;
}

Scenario withPlatform(const char *name, const char *meaning,
                      std::vector<std::pair<Duration, std::string>> actions)
{
    auto scenario = base(name, meaning, 60);
    scenario.platformActions = std::move(actions);
    return scenario;
}

/// The same action for the first tenth of 40 servers.
std::vector<std::pair<Duration, std::string>> forATenth(Duration at, const std::string &action)
{
    std::vector<std::pair<Duration, std::string>> actions;
    for (const char *number : {"01", "11", "21", "31"})
        actions.emplace_back(at, std::string("/servers/SERVICE-server-") + number + '/' + action);
    return actions;
}

Scenario drainAndCold()
{
    auto scenario = withServers("drain-cold-40",
                                "a tenth of the servers drains at 1 s, is restarted cold at 3 s",
                                loadWithoutAServer, forATenth(seconds(1), "drain?on=1"));
    for (const auto &action : forATenth(seconds(3), "drain?on=0"))
        scenario.serverActions.push_back(action);
    for (const auto &action : forATenth(seconds(3), "revive"))
        scenario.serverActions.push_back(action);
    return scenario;
}

Scenario oneDown(const char *name, int loadPercent)
{
    auto scenario = withServers(name, "stragglers, and one server killed", loadPercent,
                                {{milliseconds(0), "/servers/SERVICE-server-01/kill"}});
    scenario.stragglers = 10;
    scenario.isCompared = true;
    return scenario;
}

Scenario crashing(const char *name, const char *meaning, bool canary)
{
    auto scenario = base(name, meaning, 30);
    scenario.crashRequests = 10;
    scenario.defaults = {{"canary", canary ? "true" : "false"}};
    return scenario;
}

Scenario canaryCost()
{
    auto scenario = base("stragglers-canary-60", "stragglers, every query new to the canary", 60);
    scenario.stragglers = 10;
    scenario.defaults = {{"canary", "true"}};
    return scenario;
}

Scenario overload()
{
    auto scenario =
        base("overload-200", "one bulk caller at twice capacity, urgent queries beside", 200);
    scenario.urgentPercent = 10;
    scenario.isCompared = true;
    return scenario;
}

Scenario claims()
{
    auto scenario =
        withServers("claims-killed-40", "a fifth may not run twice; servers killed and revived",
                    loadWithoutAServer,
                    {{seconds(1), "/servers/SERVICE-server-01/kill"},
                     {seconds(2), "/servers/SERVICE-server-03/kill"},
                     {seconds(3), "/servers/SERVICE-server-01/revive"}});
    scenario.claimPercent = 20;
    return scenario;
}

Scenario repartition()
{
    auto scenario = base("repartition-60", "a new snapshot at 2 s, the old one gone at 3 s", 60);
    scenario.repartitionAt = seconds(2);
    scenario.serverActions = {{seconds(3), "/servers/*/snapshots?oldest=2&newest=2"}};
    return scenario;
}

Scenario wholeFleet()
{
    auto scenario = base("whole-fleet-30", "every service and server of the brief, 20 daemons", 30);
    scenario.isWholeFleet = true;
    return scenario;
}

std::vector<Scenario> makeTable()
{
    return {
        calm("calm-30", 30, false),
        calm("calm-60", 60, true),
        calm("calm-90", 90, false),
        stragglers("stragglers-30", 30, false),
        stragglers("stragglers-60", 60, true),
        stragglers("stragglers-90", 90, false),
        oneDown("stragglers-one-down-40", loadWithoutAServer),
        oneDown("stragglers-one-down-60", 60),
        withServers("slow-40", "one server five times slower", loadWithoutAServer,
                    {{milliseconds(0), "/servers/SERVICE-server-01/slow?percent=500"}}),
        withServers("killed-frozen-40", "one server killed and one frozen at 1 s",
                    loadWithoutAServer,
                    {{seconds(1), "/servers/SERVICE-server-01/kill"},
                     {seconds(1), "/servers/SERVICE-server-03/freeze"}}),
        drainAndCold(),
        withServers("report-zero-60", "every load report says zero", 60,
                    {{milliseconds(0), "/servers/*/report?mode=zero"}}),
        withServers("report-lag-60", "every load report is a second old", 60,
                    {{milliseconds(0), "/servers/*/report?mode=lagging"}}),
        withServers("silent-60", "every open connection goes silent at 1 s", 60,
                    {{seconds(1), "/servers/*/silence"}}),
        withDaemons("daemon-killed-60", "one daemon killed at 1 s", {{seconds(1), 0, "KILL"}}),
        withDaemons("daemon-frozen-60", "one daemon frozen from 1 s to 6 s",
                    {{seconds(1), 0, "STOP"}, {seconds(6), 0, "CONT"}}),
        withDaemons("daemon-replaced-60", "one daemon stopped gracefully at 1 s, started at 3 s",
                    {{seconds(1), 0, "TERM"}, {seconds(3), 0, "START"}}),
        withPlatform("platform-down-60", "configuration service down from 0 s",
                     {{milliseconds(0), "/switch?down=1"}}),
        withPlatform("platform-stale-60", "configuration service stale from 0 s",
                     {{milliseconds(0), "/switch?stale=1"}}),
        crashing("crash-30", "a crashing request sent ten times, no canary", false),
        crashing("crash-canary-30", "a crashing request sent ten times, with canary", true),
        canaryCost(),
        claims(),
        repartition(),
        overload(),
        wholeFleet(),
    };
}

} // namespace

const std::vector<Customer> &allCustomers()
{
    static const std::vector<Customer> customers{
        {"amms", "session-dashboard", Duration(1000), Patience::Tail},
        {"fotolector", "photo-desk", Duration(400), Patience::Coverage},
    };
    return customers;
}

const std::vector<Scenario> &allScenarios()
{
    static const std::vector<Scenario> scenarios = makeTable();
    return scenarios;
}

} // namespace oleander::bench
