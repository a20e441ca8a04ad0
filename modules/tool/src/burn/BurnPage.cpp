#include "burn/BurnPlot.h"
#include "burn/BurnWords.h"

#include <oleander/tool/BurnPage.h>

#include <sstream>

namespace oleander {

namespace {

constexpr auto pageStart = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 15px/1.4 system-ui, sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: .5em 0; }
th, td { padding: .2em .8em; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left; }
.spent { color: #b00020; font-weight: bold; }
svg { font-size: 11px; margin-right: 1em; }
</style></head><body>
<h1>Service-level burn</h1>
)";

constexpr auto tableHead =
    "<table><tr><th>window</th><th>reach</th><th>queries</th><th>late</th><th>p50 ms</th>"
    "<th>p99 ms</th><th>latency burnt</th><th>shards missing</th><th>coverage burnt</th></tr>\n";

std::string cell(const std::string &text)
{
    return "<td>" + escaped(text) + "</td>";
}

std::string budgetCell(double burnt)
{
    const std::string mark = burnt >= 1 ? " class=\"spent\"" : "";
    return "<td" + mark + ">" + percentText(burnt) + "</td>";
}

void writeWindow(std::size_t index, const WindowReport &window, std::ostream &out)
{
    const LatencyHistogram &latencies = window.counts.latencies;
    out << "<tr>" << cell(std::string(burnWindows.at(index).name)) << cell(reachText(window))
        << cell(std::to_string(window.counts.queries)) << cell(std::to_string(window.counts.late))
        << cell(millisecondText(latencies.quantile(0.5)))
        << cell(millisecondText(latencies.quantile(0.99))) << budgetCell(window.latencyBurnt)
        << cell(std::to_string(window.counts.shardsMissing)) << budgetCell(window.coverageBurnt)
        << "</tr>\n";
}

void writeBackend(const BackendReport &backend, std::ostream &out)
{
    out << "<h2>" << escaped(backend.backend.text()) << "</h2>\n<p>" << escaped(goalText(backend))
        << "</p>\n"
        << tableHead;
    for (std::size_t index = 0; index < burnWindows.size(); ++index)
        writeWindow(index, backend.windows.at(index), out);
    out << "</table>\n" << budgetPlot(backend) << latencyPlot(backend);
}

} // namespace

std::string burnPage(const BurnDocument &document)
{
    std::ostringstream out;
    out << pageStart << "<p>" << document.report.daemons.size()
        << " daemons. 100% of a budget burnt means that the goal is just met over the window. "
           "Reach says how far the daemons' memories go back.</p>\n";
    for (const std::string &fault : document.unread)
        out << "<p class=\"spent\">not read: " << escaped(fault) << "</p>\n";
    for (const BackendReport &backend : document.report.backends)
        writeBackend(backend, out);
    out << "</body></html>\n";
    return out.str();
}

} // namespace oleander
