#include "commands/CommandLine.h"
#include "commands/Commands.h"

#include <oleander/tool/PublishedFiles.h>

#include <nlohmann/json.hpp>

namespace oleander {

namespace {

constexpr auto checkNotes =
    "A folder stands for all .json files below it. Files are told apart by their keys:\n"
    "config, instances, services, partitions/<service> and daemons' settings.\n"
    "\nExit codes: 0 no fault, 1 faults, 2 a path can not be read or arguments are wrong.\n";

nlohmann::json findingsJson(const PublishedFiles &files)
{
    nlohmann::json findings = nlohmann::json::array();
    for (const FileFinding &entry : files.findings) {
        findings.push_back(
            {{"file", entry.file}, {"path", entry.finding.path}, {"text", entry.finding.text}});
    }
    return {{"files", files.fileCount}, {"findings", findings}};
}

void writeFindings(const PublishedFiles &files, std::ostream &out)
{
    for (const FileFinding &entry : files.findings)
        out << entry.file << ": " << toText(entry.finding) << '\n';
    out << files.fileCount << " files, " << files.findings.size() << " faults\n";
}

} // namespace

ExitCode runCheck(const std::vector<std::string> &arguments, Terminal &terminal)
{
    CommandLine line("check", "Checks files before they are published, alone and together.",
                     "PATH... [--json]", checkNotes);
    line.takePaths();
    if (const auto code = line.parse(arguments, terminal))
        return *code;
    if (!line.has("paths"))
        return line.refuse(terminal, "no path given");
    Reason reason;
    std::optional<PublishedFiles> files = readPublishedFiles(line.texts("paths"), reason);
    if (!files)
        return line.refuse(terminal, reason.text);
    checkTogether(*files);
    if (line.isJson())
        terminal.out << findingsJson(*files).dump(2) << '\n';
    else
        writeFindings(*files, terminal.out);
    return files->findings.empty() ? ExitCode::Ok : ExitCode::Finding;
}

} // namespace oleander
