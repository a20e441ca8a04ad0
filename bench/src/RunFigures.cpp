#include <oleander/bench/Report.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace oleander::bench {

namespace {

using nlohmann::json;

constexpr double percent = 100;
constexpr double msInSecond = 1000;

double numberOf(const json &object, const char *key)
{
    return object.value(key, 0.0);
}

double sumOf(const json &classes, const char *key)
{
    double sum = 0;
    for (const auto &one : classes)
        sum += numberOf(one, key);
    return sum;
}

void readLatencies(RunFigures &figures, const json &classes)
{
    // The first class carries the load.
    const auto &latency = classes.front().at("latency");
    figures.p50Ms = numberOf(latency, "p50Ms");
    figures.p99Ms = numberOf(latency, "p99Ms");
    figures.p999Ms = numberOf(latency, "p999Ms");
    figures.refusalP99Ms = numberOf(classes.front().at("refusalLatency"), "p99Ms");
    for (const auto &one : classes) {
        if (one.at("urgency") == "urgent")
            figures.urgentP99Ms = numberOf(one.at("latency"), "p99Ms");
    }
}

void readServers(RunFigures &figures, const json &servers)
{
    const double received = numberOf(servers, "received");
    if (figures.shardsAsked > 0)
        figures.extraPercent = percent * (received - figures.shardsAsked) / figures.shardsAsked;
    figures.crashes = numberOf(servers, "crashes");
    figures.peakConnections = numberOf(servers, "peakConnections");
    figures.refusedAtCap = numberOf(servers, "refusedAtCap");
    figures.lastDrainArrivalMs = numberOf(servers, "lastDrainArrivalMs");
    figures.doubledRuns = numberOf(servers, "doubledRuns");
}

void readFaults(RunFigures &figures, const json &result)
{
    for (const auto &one : result.at("classes")) {
        for (const auto &[fault, count] : one.at("faults").items()) {
            figures.untrue += count.get<double>();
            figures.remarks.push_back(fault + ": " + count.dump());
        }
    }
    const double untrueNotRun = numberOf(result, "untrueNotRun");
    figures.untrue += untrueNotRun;
    if (untrueNotRun > 0)
        figures.remarks.push_back("not run, but executed: " + result.at("untrueNotRun").dump());
    for (const auto &note : result.at("notes"))
        figures.remarks.push_back(note.get<std::string>());
}

void readName(RunFigures &figures, const std::string &name)
{
    const auto first = name.find('/');
    const auto last = name.rfind('/');
    figures.customer = name.substr(0, first);
    figures.scenario = name.substr(first + 1, last - first - 1);
    figures.variant = name.substr(last + 1);
}

RunFigures read(const json &result)
{
    RunFigures figures;
    const auto &classes = result.at("classes");
    readName(figures, result.at("name").get<std::string>());
    figures.sent = sumOf(classes, "sent");
    figures.answered = sumOf(classes, "answered");
    figures.partial = sumOf(classes, "partial");
    figures.refused = sumOf(classes, "refused");
    figures.unknown = sumOf(classes, "unknown");
    figures.lost = sumOf(classes, "lost");
    figures.inTime = sumOf(classes, "inTime");
    figures.shardsAsked = sumOf(classes, "shardsAsked");
    figures.shardsAnswered = sumOf(classes, "shardsAnswered");
    readLatencies(figures, classes);
    readServers(figures, result.at("servers"));
    readFaults(figures, result);
    const double length = std::max(numberOf(result, "lengthMs"), 1.0);
    figures.platformCallsPerSecond = numberOf(result, "platformCalls") * msInSecond / length;
    return figures;
}

} // namespace

std::optional<RunFigures> figuresOf(const std::string &resultText, Reason &reason)
{
    try {
        return read(json::parse(resultText));
    } catch (const json::exception &error) {
        reason.set(ErrorKind::BadRequest, std::string("result: ") + error.what());
        return std::nullopt;
    }
}

} // namespace oleander::bench
