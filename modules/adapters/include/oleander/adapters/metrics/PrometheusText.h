#pragma once

#include <oleander/adapters/metrics/QueryMetrics.h>
#include <oleander/reports/LatencyHistogram.h>

#include <span>
#include <string>
#include <string_view>

namespace oleander {

/// One counter or gauge value without labels, such as the number of open connections.
struct UnlabelledMetric
{
    /// Metric name without the prefix "oleanderway_".
    std::string_view name;
    std::string_view help;
    double value = 0;
};

/// Formats the metrics page of a process that has only metrics without labels: counters, gauges,
/// and the latency histogram from receipt to answer.
std::string prometheusText(std::span<const UnlabelledMetric> counters,
                           std::span<const UnlabelledMetric> gauges,
                           const LatencyHistogram &answers);

/// Formats the page for `GET /metrics` in the Prometheus text format, version 0.0.4. Latencies are
/// in seconds; bucket bounds double from 1/16 ms to 65.5 s.
std::string prometheusText(const MetricsTotals &totals, std::span<const UnlabelledMetric> gauges);

} // namespace oleander
