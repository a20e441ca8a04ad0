#pragma once

#include <oleander/core/Ids.h>

#include <string>

namespace oleander {

/// Identity and key with which a daemon authenticates itself to other daemons.
struct PeerIdentity
{
    InstanceId instance;
    /// Sessions with daemons of another fleet are refused.
    FleetId fleet;
    /// Secret key shared by all daemons of the fleet. Both sides of a session prove that they hold
    /// the key; the key itself is never sent.
    std::string key;
};

} // namespace oleander
