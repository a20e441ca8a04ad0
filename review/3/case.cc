#include "../rig/Rig.h"

#include <algorithm>
#include <cstdlib>

using namespace review;

namespace {

// The bounds of the small sites.
constexpr double settleWindowMs = 4000;
constexpr double historySeconds = 20;
constexpr double heartbeatMs = 1200;

constexpr int shards = 20;
constexpr int serversPerShard = 2;
constexpr int permittedRetries = 3;
constexpr int crashedServersNoticed = 3;

/// Time between two sendings of the request that crashes servers, and their number.
constexpr double resendMs = 5000;
constexpr int sendings = 10;
/// Time between two other queries to one gateway.
constexpr double queryGapMs = 150;
constexpr int deadlineMs = 1200;

std::string shardName(int number)
{
    return "huvo" + std::to_string(100 + number);
}

std::string configuration()
{
    std::string names;
    std::string services;
    for (int number = 0; number < shards; ++number) {
        const std::string comma = number > 0 ? "," : "";
        names += comma + "\"" + shardName(number) + "\"";
        services += comma + R"({"name":")" + shardName(number)
                    + R"(","healthPath":"/health","maxConns":58,"protocol":"h1","tls":false})";
    }
    return R"({"version":7,"routes":[{"name":"r-kz7ubj6","host":"pupu76.example",)"
           R"("prefix":"/bapu561/","kind":"safe","timeoutMs":1200,"targetLatencyMs":80,)"
           R"("priority":2,"gather":[)"
           + names + R"(],"maxAttempts":2,"topK":5,"minSuccessShare":0.75}],"services":[)"
           + services
           + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":5000,)"
             R"("idleTimeoutMs":15000}})";
}

} // namespace

/// A query crashes each server that begins to run it, and its caller sends it again. With trouble=0
/// the same query crashes none.
int main(int count, char **values)
{
    const Arguments arguments(count, values);
    const bool isTroubled = arguments.number("trouble") != 0;
    const Fleet fleet = arguments.fleet();
    Record record(arguments.text("record"));
    Store store(arguments.port("storePort"), historySeconds);
    Servers servers(store, record, heartbeatMs);
    const std::string crashing = "/bapu561/bad";
    for (int number = 0; number < shards * serversPerShard; ++number) {
        ServerShape shape;
        shape.service = shardName(number % shards);
        shape.zone = "zone-" + std::to_string(1 + number % 3);
        shape.workMs = 9.2;
        if (isTroubled)
            shape.crashing = crashing;
        servers.start(shape);
    }
    store.put("op/config", configuration());
    if (!awaitReady(fleet)) {
        record.line("a gateway did not become ready");
        std::_Exit(2);
    }

    std::mutex mutex;
    std::vector<Attempt> queries;
    std::vector<Attempt> resent;
    std::vector<std::thread> callers;
    const double begin = nowMs() + 6000;
    const double end = begin + (sendings + 1) * resendMs;
    for (int gateway = 1; gateway <= fleet.gateways; ++gateway) {
        callers.emplace_back([&, gateway] {
            for (double at = begin + gateway * 41; at < end; at += queryGapMs) {
                sleepUntilMs(at);
                const Attempt attempt =
                    call(fleet, gateway, "pupu76.example", "/bapu561/2f", deadlineMs, record);
                const std::lock_guard lock(mutex);
                queries.push_back(attempt);
            }
        });
    }
    for (int sending = 0; sending < sendings; ++sending) {
        sleepUntilMs(begin + (sending + 1) * resendMs);
        const int gateway = 1 + sending % fleet.gateways;
        resent.push_back(call(fleet, gateway, "pupu76.example", crashing, deadlineMs, record));
    }
    for (std::thread &caller : callers)
        caller.join();

    const std::vector<double> crashes = servers.crashes();
    std::set<std::string> ran;
    for (const Run &run : servers.runs())
        ran.insert(run.requestId);
    int counted = 0;
    if (crashes.size() >= crashedServersNoticed) {
        const double known = crashes[crashedServersNoticed - 1] + settleWindowMs;
        counted = static_cast<int>(std::ranges::count_if(resent, [&](const Attempt &attempt) {
            return attempt.sentAt > known && ran.contains(attempt.id);
        }));
    }
    const auto served =
        std::ranges::count_if(queries, [](const Attempt &query) { return query.status == 200; });
    record.line("servers that crashed: " + std::to_string(crashes.size()));
    record.line("retries of the crashing request that reached servers later than settleWindowMs "
                "after it had crashed the third: "
                + std::to_string(counted));
    record.line("other queries sent: " + std::to_string(queries.size())
                + ", served: " + std::to_string(served));
    const bool isBroken = counted > permittedRetries;
    record.line(isBroken ? "broken" : "held");
    std::_Exit(isBroken ? 1 : 0);
}
