#pragma once

#include <oleander/node/ControlStatus.h>
#include <oleander/node/QueryNode.h>
#include <oleander/settings/DaemonSettings.h>

#include <string>
#include <vector>

namespace oleander {

/// The JSON text of `/status`, from the control node and all workers of a daemon.
std::string statusPage(const DaemonSettings &settings, const ControlStatus &control,
                       const std::vector<QueryNodeStatus> &workers);

} // namespace oleander
