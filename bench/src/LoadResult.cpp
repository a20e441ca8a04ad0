#include <oleander/bench/LoadPlan.h>
#include <oleander/bench/LoadResult.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <sstream>

namespace oleander::bench {

namespace {

using nlohmann::json;

constexpr PerMille median{500};
constexpr PerMille ninetyNine{990};
constexpr PerMille ninetyNineNine{999};

json parsed(const std::string &text)
{
    auto value = json::parse(text, nullptr, false);
    return value.is_object() ? value : json::object();
}

std::uint64_t sumOverServers(const json &counts, const char *key)
{
    std::uint64_t sum = 0;
    for (const auto &server : counts.value("servers", json::object()))
        sum += server.value(key, std::uint64_t{0});
    return sum;
}

std::uint64_t peakOverServers(const json &counts, const char *key)
{
    std::uint64_t peak = 0;
    for (const auto &server : counts.value("servers", json::object()))
        peak = std::max(peak, server.value(key, std::uint64_t{0}));
    return peak;
}

double latestDrainArrival(const json &counts)
{
    double latest = 0;
    for (const auto &server : counts.value("servers", json::object()))
        latest = std::max(latest, server.value("lastDrainArrivalMs", 0.0));
    return latest;
}

json quantiles(const LatencyHistogram &latency)
{
    return {{"count", latency.count()},
            {"p50Ms", inMilliseconds(latency.quantile(median))},
            {"p99Ms", inMilliseconds(latency.quantile(ninetyNine))},
            {"p999Ms", inMilliseconds(latency.quantile(ninetyNineNine))}};
}

json textOf(const QueryClass &asked, const ClassResult &result)
{
    return {{"caller", asked.caller},
            {"backend", asked.backend},
            {"urgency", nameOf(asked.urgency)},
            {"rate", asked.rate},
            {"sent", result.sent},
            {"answered", result.answered},
            {"partial", result.partial},
            {"refused", result.refused},
            {"unknown", result.unknown},
            {"lost", result.lost},
            {"inTime", result.inTime},
            {"shardsAsked", result.shardsAsked},
            {"shardsAnswered", result.shardsAnswered},
            {"extraSubRequests", result.extraSubRequests},
            {"latency", quantiles(result.latency)},
            {"refusalLatency", quantiles(result.refusalLatency)},
            {"faults", result.faults},
            {"errors", result.errors}};
}

/// What the stand-in servers counted during the measured time.
json serverChanges(const json &before, const json &after)
{
    json changes = json::object();
    for (const char *key :
         {"received", "executed", "shed", "drainRefusals", "wrongSnapshot", "expired",
          "cancelCalls", "cancelled", "crashes", "acceptedConnections", "refusedAtCap"})
        changes[key] = sumOverServers(after, key) - sumOverServers(before, key);
    changes["doubledRuns"] = after.value("doubledRuns", 0);
    changes["peakConnections"] = peakOverServers(after, "peakConnections");
    changes["lastDrainArrivalMs"] = latestDrainArrival(after);
    return changes;
}

} // namespace

std::string loadResultText(const LoadPlan &plan, const LoadResult &result)
{
    json classes = json::array();
    for (std::size_t index = 0; index < result.classes.size(); ++index)
        classes.push_back(textOf(plan.classes[index], result.classes[index]));
    const auto platformBefore = parsed(result.before.platform);
    const auto platformAfter = parsed(result.after.platform);
    const json object{
        {"name", plan.name},
        {"seed", plan.seed},
        {"lengthMs", std::chrono::duration_cast<milliseconds>(plan.length).count()},
        {"classes", classes},
        {"servers", serverChanges(parsed(result.before.servers), parsed(result.after.servers))},
        {"platformCalls", platformAfter.value("calls", 0) - platformBefore.value("calls", 0)},
        {"untrueNotRun", result.untrueNotRun},
        {"notes", result.notes}};
    constexpr int indent = 1;
    return object.dump(indent);
}

std::string loadResultSummary(const LoadPlan &plan, const LoadResult &result)
{
    std::ostringstream text;
    for (std::size_t index = 0; index < result.classes.size(); ++index) {
        const auto &counts = result.classes[index];
        std::array<char, 400> line{};
        std::snprintf(line.data(), line.size(),
                      "%s %s: sent %llu answered %llu partial %llu refused %llu unknown %llu "
                      "lost %llu; p50 %.1f p99 %.1f ms; shards %llu of %llu; extra %llu\n",
                      plan.name.c_str(), plan.classes[index].caller.c_str(),
                      static_cast<unsigned long long>(counts.sent),
                      static_cast<unsigned long long>(counts.answered),
                      static_cast<unsigned long long>(counts.partial),
                      static_cast<unsigned long long>(counts.refused),
                      static_cast<unsigned long long>(counts.unknown),
                      static_cast<unsigned long long>(counts.lost),
                      inMilliseconds(counts.latency.quantile(median)),
                      inMilliseconds(counts.latency.quantile(ninetyNine)),
                      static_cast<unsigned long long>(counts.shardsAnswered),
                      static_cast<unsigned long long>(counts.shardsAsked),
                      static_cast<unsigned long long>(counts.extraSubRequests));
        text << line.data();
        for (const auto &[fault, count] : counts.faults)
            text << "  UNTRUE: " << fault << ": " << count << '\n';
    }
    if (result.untrueNotRun != 0)
        text << "  UNTRUE: not run, but executed: " << result.untrueNotRun << '\n';
    for (const auto &note : result.notes)
        text << "  note: " << note << '\n';
    return text.str();
}

} // namespace oleander::bench
