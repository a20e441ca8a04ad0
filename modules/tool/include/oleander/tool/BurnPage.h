#pragma once

#include <oleander/reports/BurnReport.h>

#include <string>
#include <vector>

namespace oleander {

/// A burn report with what could not be read, ready to be written down.
struct BurnDocument
{
    BurnReport report;
    /// Addresses of daemons that did not answer, and why.
    std::vector<std::string> unread;
};

/// For a terminal: a table with a row for each backend and window.
std::string burnText(const BurnDocument &document);

/// For scripts: one JSON object.
std::string burnJson(const BurnDocument &document);

/// One HTML page that needs no other file: a table, a plot of the budgets and a plot of the
/// latencies for each backend.
std::string burnPage(const BurnDocument &document);

/// "4 min 10 s", "1 h", "2 d 3 h": the two largest units.
std::string durationText(Duration duration);

} // namespace oleander
