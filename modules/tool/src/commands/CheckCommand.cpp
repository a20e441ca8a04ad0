#include "commands/CommandLine.h"
#include "commands/Commands.h"

#include <oleander/tool/DocumentComparison.h>
#include <oleander/tool/PublishedFiles.h>

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

using nlohmann::json;

constexpr auto checkNotes =
    "A folder stands for all .json files below it. Files are told apart by their keys:\n"
    "config, instances, services, partitions/<service>, daemons' and gateways' settings, and what\n"
    "an operator sends on the platform (routes, services, limits). The last is compared with the\n"
    "version in force, where that is given; changes are shown and are no fault.\n"
    "\nExit codes: 0 no fault, 1 faults, 2 a path can not be read or arguments are wrong, 3 the\n"
    "platform did not answer.\n";

struct Result
{
    PublishedFiles files;
    /// Nothing when no version in force was given, or nothing that could be compared with it.
    std::optional<std::vector<ChangedField>> changes;
    SectionVersion version;
};

json resultJson(const Result &result)
{
    json findings = json::array();
    for (const FileFinding &entry : result.files.findings) {
        json finding{
            {"file", entry.file}, {"path", entry.finding.path}, {"text", entry.finding.text}};
        if (entry.position) {
            finding["line"] = entry.position->line;
            finding["column"] = entry.position->column;
        }
        findings.push_back(std::move(finding));
    }
    json document{{"files", result.files.fileCount}, {"findings", findings}};
    if (result.changes) {
        document["versionInForce"] = result.version.value();
        document["changes"] = changesJson(*result.changes);
    }
    return document;
}

void writeResult(const Result &result, std::ostream &out)
{
    for (const FileFinding &entry : result.files.findings) {
        out << entry.file;
        if (entry.position)
            out << ':' << entry.position->line << ':' << entry.position->column;
        out << ": " << toText(entry.finding) << '\n';
    }
    if (result.changes) {
        out << "against version " << result.version.value() << ", which is in force:\n";
        writeChanges(*result.changes, out);
    }
    out << result.files.fileCount << " files, " << result.files.findings.size() << " faults\n";
}

/// The text of the version in force, from a file or from the platform, which also tells the servers
/// of each service.
std::optional<std::string> textInForce(const CommandLine &line, const OperatorFormat &format,
                                       DeploymentFacts &facts, Terminal &terminal, ExitCode &code)
{
    Reason reason;
    if (line.has("in-force")) {
        auto text = readFile(line.text("in-force"), reason);
        if (!text)
            code = line.refuse(terminal, reason.text);
        return text;
    }
    auto deployed = format.fetch(line.text("platform"), reason);
    if (!deployed) {
        line.refuse(terminal, reason.text);
        code = ExitCode::Unreachable;
        return std::nullopt;
    }
    facts.servers = std::move(deployed->servers);
    return std::move(deployed->text);
}

void checkVersion(PublishedFiles &files, const OperatorDocument &inForce)
{
    const SectionVersion offered = files.operatorDocument->value.version;
    if (offered > inForce.version)
        return;
    files.findings.push_back(
        {files.operatorDocument->file,
         {"$.version", std::to_string(offered.value()) + " must be above the version in force, "
                           + std::to_string(inForce.version.value())
                           + "; gateways would keep that one"},
         std::nullopt});
}

} // namespace

ExitCode runCheck(const std::vector<std::string> &arguments, Terminal &terminal,
                  const OperatorFormat *format)
{
    CommandLine line("check", "Checks files before they are published, alone and together.",
                     "PATH... [--in-force FILE | --platform ADDRESS] [--memory-mb N] [--json]",
                     checkNotes);
    line.takePaths();
    line.options()("in-force", "file with the operator's document that is in force",
                   cxxopts::value<std::string>())(
        "platform", "IP number and port of the platform that holds it",
        cxxopts::value<std::string>())("memory-mb", "memory of the smallest instance, in megabytes",
                                       cxxopts::value<std::int64_t>());
    if (const auto code = line.parse(arguments, terminal))
        return *code;
    if (!line.has("paths"))
        return line.refuse(terminal, "no path given");
    const bool isCompared = line.has("in-force") || line.has("platform");
    if (isCompared && (!format || (line.has("in-force") && line.has("platform"))))
        return line.refuse(terminal, "give one version in force, of a known platform");
    DocumentReading reading{format, {}};
    if (line.has("memory-mb")) {
        constexpr std::int64_t largestMemory = 1 << 24;
        const std::int64_t megabytes = line.number("memory-mb");
        if (megabytes < 1 || megabytes > largestMemory)
            return line.refuse(terminal, "memory-mb must be from 1 to 16777216");
        reading.facts.memoryBytes = static_cast<std::size_t>(megabytes) << 20;
    }
    std::optional<OperatorDocument> inForce;
    if (isCompared) {
        ExitCode code = ExitCode::Ok;
        const auto text = textInForce(line, *format, reading.facts, terminal, code);
        if (!text)
            return code;
        Findings findings;
        inForce = format->read(*text, {}, findings);
        if (!inForce)
            return line.refuse(terminal,
                               "the version in force can not be read: "
                                   + (findings.empty() ? std::string() : toText(findings.front())));
    }
    Reason reason;
    std::optional<PublishedFiles> files = readPublishedFiles(line.texts("paths"), reason, reading);
    if (!files)
        return line.refuse(terminal, reason.text);
    checkTogether(*files);
    Result result;
    if (inForce && files->operatorDocument) {
        checkVersion(*files, *inForce);
        result.changes = compareDocuments(*inForce, files->operatorDocument->value);
        result.version = inForce->version;
    }
    locateFindings(*files);
    result.files = std::move(*files);
    if (line.isJson())
        terminal.out << resultJson(result).dump(2) << '\n';
    else
        writeResult(result, terminal.out);
    return result.files.findings.empty() ? ExitCode::Ok : ExitCode::Finding;
}

} // namespace oleander
