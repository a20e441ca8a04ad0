#pragma once

#include <oleander/adapters/metrics/PrometheusText.h>
#include <oleander/adapters/resources/ProcessMemory.h>

#include <vector>

namespace oleander {

/// Appends what `memory` counts: bytes by holder, limits, and what was closed or refused.
void appendMemoryMetrics(const ProcessMemory &memory, std::vector<UnlabelledMetric> &counters,
                         std::vector<UnlabelledMetric> &gauges);

} // namespace oleander
