#pragma once

#include <oleander/reports/BurnReport.h>

#include <string>

namespace oleander {

/// 0.5 as "50.0%".
std::string percentText(double share);
/// 990 as "99.0%".
std::string perMilleText(PerMille share);
/// Without the unit, with one decimal.
std::string millisecondText(Duration duration);
/// How far back the memories go: "5 min" or "2 min to 5 min".
std::string reachText(const WindowReport &window);
/// The objectives of a backend in words.
std::string goalText(const BackendReport &backend);

} // namespace oleander
