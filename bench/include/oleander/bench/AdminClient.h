#pragma once

#include <oleander/core/Reason.h>

#include <optional>
#include <string>

namespace oleander::bench {

/// One HTTP exchange with a stand-in's admin address, on a connection of its own. Blocks, a few
/// seconds at most. Empty when there is no reply or its status is not 200.
std::optional<std::string> adminCall(const std::string &address, const std::string &method,
                                     const std::string &target, const std::string &body,
                                     Reason &reason);

} // namespace oleander::bench
