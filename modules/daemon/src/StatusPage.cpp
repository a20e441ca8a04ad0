#include "StatusPage.h"

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

using Json = nlohmann::ordered_json;

Json sectionsJson(const ControlStatus &control)
{
    Json sections = Json::array();
    for (const SectionStatus &section : control.sections) {
        Json row;
        row["name"] = section.summary.name;
        row["version"] = section.summary.version.value();
        row["ageMs"] = inMilliseconds(section.age);
        if (section.refusedVersion) {
            row["refusedVersion"] = section.refusedVersion->value();
            row["refusedReason"] = section.refusedReason;
        }
        sections.push_back(std::move(row));
    }
    return sections;
}

Json namesJson(const std::vector<InstanceId> &instances)
{
    Json names = Json::array();
    for (const InstanceId &instance : instances)
        names.push_back(instance.text());
    return names;
}

Json countersJson(const ControlCounters &counters)
{
    Json json;
    json["platformCalls"] = counters.platformCalls;
    json["platformFailures"] = counters.platformFailures;
    json["peerCalls"] = counters.peerCalls;
    json["peerFailures"] = counters.peerFailures;
    json["peerRequests"] = counters.peerRequests;
    json["bytesFromPlatform"] = counters.bytesFromPlatform;
    json["bytesFromPeers"] = counters.bytesFromPeers;
    json["bytesToPeers"] = counters.bytesToPeers;
    json["sectionsAccepted"] = counters.sectionsAccepted;
    json["sectionsRefused"] = counters.sectionsRefused;
    json["sectionsOld"] = counters.sectionsOld;
    return json;
}

} // namespace

DaemonStatus daemonStatus(const DaemonSettings &settings, const ControlStatus &control,
                          const std::vector<QueryNodeStatus> &workers, Duration uptime)
{
    DaemonStatus status;
    status.instance = settings.instance;
    status.dataCentre = settings.dataCentre;
    status.isReady = control.isReady;
    status.isStopping = control.isStopping;
    status.uptime = uptime;
    for (const SectionStatus &section : control.sections) {
        if (section.summary.name == "config")
            status.configuration = section.summary.version;
    }
    status.configurationAge = control.platformAge.value_or(Duration{});
    for (const QueryNodeStatus &worker : workers) {
        for (const ServiceId &service : worker.coordinated)
            status.coordinated.push_back(service);
        status.connections += worker.connections;
        status.activeQueries += worker.activeQueries;
        status.waitingSubRequests += worker.waitingSubRequests;
        status.refusals += worker.refusals;
        status.suspicions += worker.suspicions;
    }
    return status;
}

std::string controlPage(const ControlStatus &control)
{
    Json page;
    page["ready"] = control.isReady;
    page["notReadyReason"] = control.notReadyReason;
    page["platformReachable"] = control.isPlatformReachable;
    page["platformAgeMs"] = nullptr;
    if (control.platformAge)
        page["platformAgeMs"] = inMilliseconds(*control.platformAge);
    page["readerOf"] = control.readerOf;
    page["neighbours"] = namesJson(control.neighbours);
    page["unreachable"] = namesJson(control.unreachable);
    page["leaving"] = namesJson(control.leaving);
    page["sections"] = sectionsJson(control);
    page["counters"] = countersJson(control.counters);
    return page.dump(2) + "\n";
}

std::vector<UnlabelledMetric> gaugesOf(const DaemonStatus &status, const ControlStatus &control,
                                       const GlogEventLog &log)
{
    const auto number = [](auto value) { return static_cast<double>(value); };
    return {
        {"ready", "1 when the daemon takes queries.", status.isReady ? 1.0 : 0.0},
        {"configuration_version", "Version of the configuration in force.",
         number(status.configuration.value())},
        {"configuration_age_seconds", "Time since the configuration was last confirmed.",
         inMilliseconds(status.configurationAge) / 1000},
        {"server_connections", "Open connections to backend servers.", number(status.connections)},
        {"active_queries", "Queries under way.", number(status.activeQueries)},
        {"waiting_subrequests", "Sub-requests that wait for a slot.",
         number(status.waitingSubRequests)},
        {"crash_suspicions", "Queries suspected of crashing servers.", number(status.suspicions)},
        {"unreachable_peers", "Peers that lately did not answer.",
         number(control.unreachable.size())},
        {"platform_calls", "Calls to the configuration service since the start.",
         number(control.counters.platformCalls)},
        {"dropped_log_lines", "Log lines dropped since the start.", number(log.droppedLines())},
    };
}

} // namespace oleander
