#pragma once

#include <oleander/reports/BurnReport.h>

#include <string>

namespace oleander {

/// Inline SVG: for each window a bar for the latency budget and one for the coverage budget, with a
/// line at 100 %.
std::string budgetPlot(const BackendReport &backend);

/// Inline SVG: how often each latency occurred in the longest window, with the objective.
std::string latencyPlot(const BackendReport &backend);

/// A text as it may stand in HTML.
std::string escaped(std::string_view text);

} // namespace oleander
