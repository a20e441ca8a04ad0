#pragma once

#include <oleander/core/Ids.h>

#include <string>

namespace oleander {

/// Who a daemon is towards other daemons.
struct PeerIdentity
{
    InstanceId instance;
    /// Sessions with daemons of another fleet are refused.
    FleetId fleet;
    /// Shared by all daemons of the fleet; both sides of a session prove that they hold it. It
    /// never travels.
    std::string key;
};

} // namespace oleander
