#pragma once

#include <oleander/node/ControlSettings.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace oleander {

/// What a daemon has to do at present, by the list of instances and its evidence.
struct ControlRoles
{
    /// Sections to read from the platform, and how long each call waits.
    std::map<std::string, Duration> duties;
    /// Peers to tell of changes at once.
    std::vector<Instance> neighbours;
    /// Peers to compare with in turn: the neighbours, and readers that this daemon stands by for.
    std::vector<Instance> compared;
    /// Whether the duties depend on the turn.
    bool takesTurns = false;
};

/// The roles of `settings.self`.
///
/// A daemon that the list does not show yet acts as if it were listed, and watches the list itself,
/// so that a fleet whose list lags behind never waits for readers that are gone. Sections that it
/// reads only because of evidence against others are bounded by the substitute budget; `turn` picks
/// which of them are read now.
ControlRoles controlRoles(const InstanceList &list, const std::vector<std::string> &sections,
                          const PeerEvidence &evidence, const ControlSettings &settings,
                          std::size_t turn);

} // namespace oleander
