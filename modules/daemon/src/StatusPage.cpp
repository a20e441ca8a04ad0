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

template <typename Id>
Json namesJson(const std::vector<Id> &ids)
{
    Json names = Json::array();
    for (const Id &id : ids)
        names.push_back(id.text());
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
                          const std::vector<QueryNodeStatus> &workers)
{
    DaemonStatus status;
    status.instance = settings.instance;
    status.dataCentre = settings.dataCentre;
    status.isReady = control.isReady;
    status.notReadyReason = control.notReadyReason;
    status.isStopping = control.isStopping;
    for (const SectionStatus &section : control.sections) {
        if (section.summary.name == "config")
            status.configuration = section.summary.version;
    }
    status.configurationAge = control.platformAge;
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

std::string statusPage(const DaemonStatus &status, const ControlStatus &control)
{
    Json page;
    page["instance"] = status.instance.text();
    page["dataCentre"] = status.dataCentre.text();
    page["ready"] = status.isReady;
    page["notReadyReason"] = status.notReadyReason;
    page["stopping"] = status.isStopping;
    page["configurationVersion"] = status.configuration.value();
    page["configurationAgeMs"] = nullptr;
    if (status.configurationAge)
        page["configurationAgeMs"] = inMilliseconds(*status.configurationAge);
    page["coordinated"] = namesJson(status.coordinated);
    page["connections"] = status.connections;
    page["activeQueries"] = status.activeQueries;
    page["waitingSubRequests"] = status.waitingSubRequests;
    page["refusals"] = status.refusals;
    page["suspicions"] = status.suspicions;
    page["platformReachable"] = control.isPlatformReachable;
    page["readerOf"] = control.readerOf;
    page["neighbours"] = namesJson(control.neighbours);
    page["unreachablePeers"] = namesJson(control.unreachable);
    page["leavingPeers"] = namesJson(control.leaving);
    page["sections"] = sectionsJson(control);
    page["control"] = countersJson(control.counters);
    return page.dump(2) + "\n";
}

std::vector<Gauge> gaugesOf(const DaemonStatus &status, const ControlStatus &control,
                            const GlogEventLog &log)
{
    const auto number = [](auto value) { return static_cast<double>(value); };
    return {
        {"ready", "1 when the daemon takes queries.", status.isReady ? 1.0 : 0.0},
        {"configuration_version", "Version of the configuration in force.",
         number(status.configuration.value())},
        {"configuration_age_seconds", "Time since the configuration was last confirmed.",
         inMilliseconds(status.configurationAge.value_or(Duration{})) / 1000},
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
