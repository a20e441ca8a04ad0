#pragma once

#include <oleander/adapters/log/GlogEventLog.h>
#include <oleander/adapters/metrics/PrometheusText.h>
#include <oleander/node/ControlStatus.h>
#include <oleander/node/QueryNode.h>
#include <oleander/reports/DaemonStatus.h>
#include <oleander/settings/DaemonSettings.h>

#include <string>
#include <vector>

namespace oleander {

/// What `/status` says, from the control node and all workers of a daemon.
DaemonStatus daemonStatus(const DaemonSettings &settings, const ControlStatus &control,
                          const std::vector<QueryNodeStatus> &workers, Duration uptime);

/// What `/control` says, as JSON: sections held, peers and counters of the control plane.
std::string controlPage(const ControlStatus &control);

/// The gauges of `/metrics`.
std::vector<UnlabelledMetric> gaugesOf(const DaemonStatus &status, const ControlStatus &control,
                                       const GlogEventLog &log);

} // namespace oleander
