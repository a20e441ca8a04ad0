#pragma once

#include "Target.h"

#include <oleander/standins/ServerStandin.h>

#include <functional>
#include <optional>

namespace oleander::standins {

/// What an action of the admin address does to a server, such as "drain?on=1". Empty when there is
/// no such action or an argument is missing.
std::optional<std::function<void(ServerStandin &)>> serverAction(const Target &action);

} // namespace oleander::standins
