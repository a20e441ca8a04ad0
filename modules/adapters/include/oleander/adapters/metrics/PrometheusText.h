#pragma once

#include <oleander/adapters/metrics/QueryMetrics.h>
#include <oleander/reports/LatencyHistogram.h>

#include <span>
#include <string>
#include <string_view>

namespace oleander {

/// One number without labels, such as open connections; the caller of prometheusText() adds these.
struct Gauge
{
    /// Without the prefix "oleanderway_".
    std::string_view name;
    std::string_view help;
    double value = 0;
};

/// The same page for a process that counts without labels: counters, gauges, and the time from
/// receipt to answer.
std::string prometheusText(std::span<const Gauge> counters, std::span<const Gauge> gauges,
                           const LatencyHistogram &answers);

/// The page `GET /metrics` in Prometheus' text format, version 0.0.4. Latencies are in seconds and
/// have a bucket for each doubling from 1/16 ms to 65.5 s.
std::string prometheusText(const MetricsTotals &totals, std::span<const Gauge> gauges);

} // namespace oleander
