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

void addConfiguration(Json &page, const ControlStatus &control)
{
    page["configurationVersion"] = 0;
    page["configurationAgeMs"] = nullptr;
    for (const SectionStatus &section : control.sections) {
        if (section.summary.name != "config")
            continue;
        page["configurationVersion"] = section.summary.version.value();
        page["configurationAgeMs"] = inMilliseconds(section.age);
    }
    page["platformReachable"] = control.isPlatformReachable;
    page["platformAgeMs"] = nullptr;
    if (control.platformAge)
        page["platformAgeMs"] = inMilliseconds(*control.platformAge);
}

void addWork(Json &page, const std::vector<QueryNodeStatus> &workers)
{
    Json coordinated = Json::array();
    QueryNodeStatus sum;
    for (const QueryNodeStatus &worker : workers) {
        for (const ServiceId &service : worker.coordinated)
            coordinated.push_back(service.text());
        sum.connections += worker.connections;
        sum.activeQueries += worker.activeQueries;
        sum.waitingSubRequests += worker.waitingSubRequests;
        sum.refusals += worker.refusals;
        sum.suspicions += worker.suspicions;
    }
    page["coordinated"] = std::move(coordinated);
    page["connections"] = sum.connections;
    page["activeQueries"] = sum.activeQueries;
    page["waitingSubRequests"] = sum.waitingSubRequests;
    page["refusals"] = sum.refusals;
    page["suspicions"] = sum.suspicions;
}

} // namespace

std::string statusPage(const DaemonSettings &settings, const ControlStatus &control,
                       const std::vector<QueryNodeStatus> &workers)
{
    Json page;
    page["instance"] = settings.instance.text();
    page["fleet"] = settings.fleet.text();
    page["dataCentre"] = settings.dataCentre.text();
    page["ready"] = control.isReady;
    page["notReadyReason"] = control.notReadyReason;
    page["stopping"] = control.isStopping;
    addConfiguration(page, control);
    addWork(page, workers);
    page["unreachablePeers"] = namesJson(control.unreachable);
    page["leavingPeers"] = namesJson(control.leaving);
    page["readerOf"] = control.readerOf;
    page["sections"] = sectionsJson(control);
    page["control"] = countersJson(control.counters);
    return page.dump(2) + "\n";
}

} // namespace oleander
