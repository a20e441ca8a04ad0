#include "commands/Commands.h"
#include "commands/DaemonPages.h"

#include <oleander/tool/BurnPage.h>

#include <fstream>

namespace oleander {

namespace {

constexpr auto burnNotes =
    "Adds up what the daemons remember of the last 5 minutes, 1 hour, 6 hours and 3 days.\n"
    "A daemon forgets when it restarts; REACH says how far the memories go back.\n"
    "BURNT is the part of the budget that is spent: 100% means that the goal is just met.\n"
    "\nExit codes: 0 no budget is spent, 1 a budget is spent in some window, 2 wrong arguments,\n"
    "3 some daemons did not answer; the report covers the others and names these.\n";

BurnDocument documentOf(const std::vector<DaemonPage> &pages)
{
    BurnDocument document;
    std::vector<DaemonBurn> daemons;
    for (const DaemonPage &page : pages) {
        Reason reason;
        std::optional<DaemonBurn> burn;
        if (page.body)
            burn = parseDaemonBurn(*page.body, reason);
        if (burn)
            daemons.push_back(std::move(*burn));
        else
            document.unread.push_back(page.body ? page.address + ": " + reason.text : page.fault);
    }
    document.report = mergeBurn(daemons);
    return document;
}

bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    return !file.fail();
}

} // namespace

ExitCode runBurn(const std::vector<std::string> &arguments, Terminal &terminal)
{
    CommandLine line("burn", "Reports how much of the service-level budgets is burnt.",
                     "(--instances FILE | --platform ADDRESS | --daemon ADDRESS...) [OPTION...]",
                     burnNotes);
    addDaemonOptions(line);
    line.options()("html", "also write one self-contained HTML page to this file",
                   cxxopts::value<std::string>());
    if (const auto code = line.parse(arguments, terminal))
        return *code;
    const DaemonPages pages = readDaemonPages(line, "/burn", terminal);
    if (pages.code)
        return *pages.code;
    const BurnDocument document = documentOf(pages.pages);
    terminal.out << (line.isJson() ? burnJson(document) : burnText(document));
    if (line.has("html") && !writeFile(line.text("html"), burnPage(document)))
        return line.refuse(terminal, line.text("html") + ": can not be written");
    if (!document.unread.empty())
        return ExitCode::Unreachable;
    return isOverBudget(document.report) ? ExitCode::Finding : ExitCode::Ok;
}

} // namespace oleander
