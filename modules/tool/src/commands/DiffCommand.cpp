#include "commands/Commands.h"
#include "commands/PolicySource.h"
#include "commands/TextTable.h"

#include <oleander/tool/DocumentComparison.h>
#include <oleander/tool/PolicyComparison.h>
#include <oleander/tool/PublishedFiles.h>

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

using nlohmann::json;

constexpr auto diffNotes =
    "Compares two configuration files, or with --platform what is published with one file; either\n"
    "the product's own configuration or what an operator sends on the platform.\n"
    "A narrower subject is left out where it changes like a wider one.\n"
    "\nExit codes: 0 nothing changes, 1 something changes, 2 a configuration can not be used or\n"
    "arguments are wrong, 3 the platform did not answer.\n";

json subjectJson(const Subject &subject)
{
    json result = json::object();
    const auto add = [&](const char *key, const auto &id) {
        if (!id.isEmpty())
            result[key] = id.text();
    };
    add("backend", subject.backend);
    add("service", subject.service);
    add("caller", subject.caller);
    add("dataCentre", subject.dataCentre);
    add("instance", subject.instance);
    return result;
}

void writeJson(const PolicyComparison &comparison, std::ostream &out)
{
    json values = json::array();
    for (const ChangedValue &change : comparison.values) {
        values.push_back({{"subject", subjectJson(change.subject)},
                          {"value", std::string(change.field->name)},
                          {"unit", std::string(change.field->unit)},
                          {"before", json::parse(change.before)},
                          {"after", json::parse(change.after)}});
    }
    const json document{{"values", values},
                        {"addedExceptions", comparison.added},
                        {"removedExceptions", comparison.removed},
                        {"exceptionsWithNewReason", comparison.reworded}};
    out << document.dump(2) << '\n';
}

void writeText(const PolicyComparison &comparison, std::ostream &out)
{
    std::vector<std::vector<std::string>> rows{{"SUBJECT", "VALUE", "BEFORE", "AFTER", "UNIT"}};
    for (const ChangedValue &change : comparison.values) {
        rows.push_back({subjectText(change.subject), std::string(change.field->name), change.before,
                        change.after, std::string(change.field->unit)});
    }
    if (rows.size() > 1)
        writeTable(out, rows);
    for (const std::string &name : comparison.added)
        out << "exception " << name << " is new\n";
    for (const std::string &name : comparison.removed)
        out << "exception " << name << " is gone\n";
    for (const std::string &name : comparison.reworded)
        out << "exception " << name << " has another reason\n";
    if (comparison.isEmpty())
        out << "nothing changes\n";
}

/// Compares operators' documents; nothing when the new file is none.
std::optional<ExitCode> compareOperatorFiles(const CommandLine &line,
                                             const std::vector<std::string> &paths,
                                             Terminal &terminal, const OperatorFormat &format)
{
    Reason reason;
    const auto fresh = readFile(paths.back(), reason);
    if (!fresh || !format.recognises(*fresh))
        return std::nullopt;
    std::optional<std::string> old;
    if (line.has("platform")) {
        auto deployed = format.fetch(line.text("platform"), reason);
        if (!deployed) {
            line.refuse(terminal, reason.text);
            return ExitCode::Unreachable;
        }
        old = std::move(deployed->text);
    } else if (!(old = readFile(paths.front(), reason))) {
        return line.refuse(terminal, reason.text);
    }
    Findings findings;
    const auto before = format.read(*old, {}, findings);
    const auto after = format.read(*fresh, {}, findings);
    if (!before || !after) {
        for (const Finding &finding : findings)
            terminal.err << toText(finding) << '\n';
        return ExitCode::Usage;
    }
    const auto changes = compareDocuments(*before, *after);
    if (line.isJson())
        terminal.out << json{{"changes", changesJson(changes)}}.dump(2) << '\n';
    else
        writeChanges(changes, terminal.out);
    return changes.empty() ? ExitCode::Ok : ExitCode::Finding;
}

} // namespace

ExitCode runDiff(const std::vector<std::string> &arguments, Terminal &terminal,
                 const OperatorFormat *format)
{
    CommandLine line("diff", "Shows which subjects and values a change touches.",
                     "(OLD NEW | --platform ADDRESS NEW) [--json]", diffNotes);
    line.takePaths();
    line.options()("platform", "IP number and port of the configuration service",
                   cxxopts::value<std::string>());
    if (const auto code = line.parse(arguments, terminal))
        return *code;
    const std::vector<std::string> paths = line.texts("paths");
    const bool isPublished = line.has("platform");
    if (paths.size() != (isPublished ? 1U : 2U))
        return line.refuse(terminal, "give the old and the new configuration");
    if (format) {
        if (const auto code = compareOperatorFiles(line, paths, terminal, *format))
            return *code;
    }
    const PolicySource before = isPublished
                                    ? policiesFromPlatform(line, line.text("platform"), terminal)
                                    : policiesFromFile(line, paths.front(), terminal);
    if (!before.set)
        return before.code;
    const PolicySource after = policiesFromFile(line, paths.back(), terminal);
    if (!after.set)
        return after.code;
    const PolicyComparison comparison = comparePolicies(*before.set, *after.set);
    if (line.isJson())
        writeJson(comparison, terminal.out);
    else
        writeText(comparison, terminal.out);
    return comparison.isEmpty() ? ExitCode::Ok : ExitCode::Finding;
}

} // namespace oleander
