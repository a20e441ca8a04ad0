#include "commands/Commands.h"
#include "commands/DaemonPages.h"
#include "commands/TextTable.h"

#include <oleander/reports/DaemonStatus.h>
#include <oleander/tool/BurnPage.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace oleander {

namespace {

using nlohmann::json;

constexpr auto statusNotes =
    "One row a daemon: whether it takes queries, version and age of its configuration, how many\n"
    "services it coordinates, open connections to backend servers, queries under way,\n"
    "sub-requests that wait, queries refused since the start, and queries that are refused now\n"
    "because servers were lost while they ran them.\n"
    "\nExit codes: 0 all answered and are ready with one configuration, 1 some are not ready or\n"
    "hold another configuration, 2 wrong arguments, 3 some did not answer.\n";

struct Row
{
    std::string name;
    std::optional<DaemonStatus> status;
    std::string fault;
};

std::vector<Row> rowsOf(const std::vector<DaemonPage> &pages)
{
    std::vector<Row> rows;
    for (const DaemonPage &page : pages) {
        Row row{page.instance.empty() ? page.address : page.instance, std::nullopt, page.fault};
        Reason reason;
        if (page.body)
            row.status = parseDaemonStatus(*page.body, reason);
        if (page.body && !row.status)
            row.fault = reason.text;
        if (row.status)
            row.name = row.status->instance.text();
        rows.push_back(std::move(row));
    }
    return rows;
}

std::string readiness(const DaemonStatus &status)
{
    if (status.isStopping)
        return "stopping";
    return status.isReady ? "ready" : "not ready";
}

std::string ageText(const DaemonStatus &status)
{
    return status.configurationAge ? durationText(*status.configurationAge) : "-";
}

json rowJson(const Row &row)
{
    if (!row.status)
        return {{"instance", row.name}, {"fault", row.fault}};
    const DaemonStatus &status = *row.status;
    json coordinated = json::array();
    for (const ServiceId &service : status.coordinated)
        coordinated.push_back(service.text());
    json result{{"instance", row.name},
                {"dataCentre", status.dataCentre.text()},
                {"readiness", readiness(status)},
                {"notReadyReason", status.notReadyReason},
                {"configurationVersion", status.configuration.value()},
                {"configurationAgeMs", nullptr},
                {"refusedConfiguration", status.refusedConfiguration},
                {"coordinated", coordinated},
                {"connections", status.connections},
                {"activeQueries", status.activeQueries},
                {"waitingSubRequests", status.waitingSubRequests},
                {"refusals", status.refusals},
                {"suspicions", status.suspicions}};
    if (status.configurationAge)
        result["configurationAgeMs"] = inMilliseconds(*status.configurationAge);
    return result;
}

void writeText(const std::vector<Row> &rows, std::ostream &out)
{
    std::vector<std::vector<std::string>> table{{"INSTANCE", "DATA CENTRE", "STATE", "CONFIG",
                                                 "AGE", "SERVICES", "CONNECTIONS", "QUERIES",
                                                 "WAITING", "REFUSED", "SUSPICIONS"}};
    for (const Row &row : rows) {
        if (!row.status) {
            table.push_back({row.name, "-", "no answer"});
            continue;
        }
        const DaemonStatus &status = *row.status;
        table.push_back({row.name, status.dataCentre.text(), readiness(status),
                         std::to_string(status.configuration.value()), ageText(status),
                         std::to_string(status.coordinated.size()),
                         std::to_string(status.connections), std::to_string(status.activeQueries),
                         std::to_string(status.waitingSubRequests), std::to_string(status.refusals),
                         std::to_string(status.suspicions)});
    }
    writeTable(out, table);
    for (const Row &row : rows) {
        if (!row.status)
            out << row.name << ": " << row.fault << '\n';
        else if (!row.status->notReadyReason.empty())
            out << row.name << " is not ready: " << row.status->notReadyReason << '\n';
        if (row.status && !row.status->refusedConfiguration.empty())
            out << row.name << " refused " << row.status->refusedConfiguration << '\n';
    }
}

ExitCode codeOf(const std::vector<Row> &rows)
{
    if (!std::ranges::all_of(rows, [](const Row &row) { return row.status.has_value(); }))
        return ExitCode::Unreachable;
    const SectionVersion first = rows.front().status->configuration;
    const bool isWell = std::ranges::all_of(rows, [&](const Row &row) {
        return row.status->isReady && row.status->configuration == first;
    });
    return isWell ? ExitCode::Ok : ExitCode::Finding;
}

} // namespace

ExitCode runStatus(const std::vector<std::string> &arguments, Terminal &terminal)
{
    CommandLine line("status", "Shows one table over all daemons.",
                     "(--instances FILE | --platform ADDRESS | --daemon ADDRESS...) [--json]",
                     statusNotes);
    addDaemonOptions(line);
    if (const auto code = line.parse(arguments, terminal))
        return *code;
    const DaemonPages pages = readDaemonPages(line, "/status", terminal);
    if (pages.code)
        return *pages.code;
    const std::vector<Row> rows = rowsOf(pages.pages);
    if (line.isJson()) {
        json document = json::array();
        for (const Row &row : rows)
            document.push_back(rowJson(row));
        terminal.out << document.dump(2) << '\n';
    } else {
        writeText(rows, terminal.out);
    }
    return codeOf(rows);
}

} // namespace oleander
