#include "commands/Commands.h"
#include "commands/PolicySource.h"
#include "commands/TextTable.h"

#include <oleander/tool/PolicyComparison.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace oleander {

namespace {

using nlohmann::json;

constexpr auto explainNotes =
    "Shows each value in force for a subject and the exception that sets it, with its reason.\n"
    "Members of the subject that are left out match only exceptions that leave them out too.\n"
    "\nExit codes: 0 shown, 2 the configuration can not be used or arguments are wrong,\n"
    "3 the platform did not answer.\n";

void addOptions(CommandLine &line)
{
    line.options()("config", "configuration file", cxxopts::value<std::string>())(
        "platform", "IP number and port of the configuration service",
        cxxopts::value<std::string>())("backend", "backend", cxxopts::value<std::string>())(
        "service", "service", cxxopts::value<std::string>())("caller", "caller",
                                                             cxxopts::value<std::string>())(
        "data-centre", "data centre", cxxopts::value<std::string>())("instance", "instance",
                                                                     cxxopts::value<std::string>())(
        "value", "only this value; may be repeated", cxxopts::value<std::vector<std::string>>());
}

Subject subjectOf(const CommandLine &line)
{
    Subject subject;
    subject.backend = BackendId(line.text("backend"));
    subject.service = ServiceId(line.text("service"));
    subject.caller = CallerId(line.text("caller"));
    subject.dataCentre = DataCentreId(line.text("data-centre"));
    subject.instance = InstanceId(line.text("instance"));
    return subject;
}

void writeJson(const PolicySet &set, const std::vector<ExplainedValue> &values, std::ostream &out)
{
    json rows = json::array();
    for (const ExplainedValue &value : values) {
        json row{{"value", std::string(value.field->name)},
                 {"unit", std::string(value.field->unit)},
                 {"inForce", json::parse(value.value)},
                 {"exception", nullptr}};
        if (value.source) {
            row["exception"] = value.source->name;
            row["reason"] = value.source->reason;
        }
        json overruled = json::array();
        for (const PolicyException *exception : value.overruled)
            overruled.push_back(exception->name);
        row["overruled"] = overruled;
        rows.push_back(std::move(row));
    }
    const json document{
        {"fleet", set.fleet.text()}, {"version", set.version.value()}, {"values", rows}};
    out << document.dump(2) << '\n';
}

void writeText(const Subject &subject, const std::vector<ExplainedValue> &values, std::ostream &out)
{
    out << "In force for " << subjectText(subject) << ":\n\n";
    std::vector<std::vector<std::string>> rows{{"VALUE", "IN FORCE", "UNIT", "FROM"}};
    std::vector<const PolicyException *> sources;
    for (const ExplainedValue &value : values) {
        std::string from = value.source ? "exception " + value.source->name : "defaults";
        for (const PolicyException *exception : value.overruled)
            from += ", over " + exception->name;
        rows.push_back(
            {std::string(value.field->name), value.value, std::string(value.field->unit), from});
        if (value.source && std::ranges::find(sources, value.source) == sources.end())
            sources.push_back(value.source);
    }
    writeTable(out, rows);
    for (const PolicyException *exception : sources) {
        out << "\nexception " << exception->name << ", covers " << subjectText(exception->covers)
            << ":\n  " << exception->reason << '\n';
    }
}

/// Leaves only the values asked for; false when one does not exist.
bool keepNamed(std::vector<ExplainedValue> &values, const std::vector<std::string> &names)
{
    if (names.empty())
        return true;
    if (!std::ranges::all_of(names, [](const auto &name) { return policyFieldNamed(name); }))
        return false;
    std::erase_if(values, [&](const ExplainedValue &value) {
        return std::ranges::find(names, value.field->name) == names.end();
    });
    return true;
}

} // namespace

ExitCode runExplain(const std::vector<std::string> &arguments, Terminal &terminal)
{
    CommandLine line("explain", "Shows what is in force for a subject, and why.",
                     "(--config FILE | --platform ADDRESS) [OPTION...]", explainNotes);
    addOptions(line);
    if (const auto code = line.parse(arguments, terminal))
        return *code;
    if (line.has("config") == line.has("platform"))
        return line.refuse(terminal, "give either --config or --platform");
    const PolicySource source = line.has("config")
                                    ? policiesFromFile(line, line.text("config"), terminal)
                                    : policiesFromPlatform(line, line.text("platform"), terminal);
    if (!source.set)
        return source.code;
    const Subject subject = subjectOf(line);
    std::vector<ExplainedValue> values = explainPolicy(*source.set, subject);
    if (!keepNamed(values, line.texts("value")))
        return line.refuse(terminal, "--value names no known value");
    if (line.isJson())
        writeJson(*source.set, values, terminal.out);
    else
        writeText(subject, values, terminal.out);
    return ExitCode::Ok;
}

} // namespace oleander
