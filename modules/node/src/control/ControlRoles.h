#pragma once

#include <oleander/node/ControlSettings.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace oleander {

/// The current tasks of a daemon, derived from the instance list and the evidence about peers.
struct ControlRoles
{
    /// Sections to read from the platform, and the maximum wait of each watch call.
    std::map<std::string, Duration> sectionsToRead;
    /// Peers that are notified of changes immediately.
    std::vector<Instance> neighbours;
    /// Peers to compare with in rotation: the neighbours, and the readers that this daemon would
    /// replace.
    std::vector<Instance> comparisonPeers;
    /// Whether `sectionsToRead` changes with the rotation.
    bool rotatesSections = false;
};

/// Returns the roles of `settings.self`.
///
/// A daemon that the instance list does not contain yet acts as if it were listed, and watches the
/// list itself, so that a fleet with an outdated list never waits for readers that no longer exist.
/// The substitute budget limits the number of sections that the daemon reads only because of
/// evidence against other readers; `rotation` selects which of them are read now.
ControlRoles controlRoles(const InstanceList &list, const std::vector<std::string> &sections,
                          const PeerEvidence &evidence, const ControlSettings &settings,
                          std::size_t rotation);

} // namespace oleander
