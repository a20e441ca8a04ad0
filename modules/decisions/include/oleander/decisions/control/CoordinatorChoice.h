#pragma once

#include <oleander/core/FleetView.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace oleander {

// Assigns coordinators to services, and queries to coordinators, by rendezvous hashing.
//
// Daemons with the same list of instances compute the same assignment without communication. While
// their lists differ, their assignments may differ too: an entry instance sends a query to the
// first instance of coordinatorOrder(), and the receiver executes it if isCoordinator() is true for
// its own list, which tolerates a difference of one instance.
//
// Each call computes one hash per instance and sorts them; callers should keep the result for as
// long as they use the same view.

/// The score of a candidate for a key; the highest score is preferred. All machines compute the
/// same score.
std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

// Assignment

/// The coordinators of a service: at most k instances that are not leaving, in descending order of
/// preference.
///
/// A data centre provides a second coordinator only after every data centre has provided one. When
/// one of N instances is added or removed, about 1/N of the assignments change.
std::vector<InstanceId> coordinatorsFor(const ServiceId &service, const InstanceList &list, int k);

/// The coordinators in the order in which a query with this key tries them. The order depends only
/// on the key and the set of coordinators; removing one does not change the order of the others.
std::vector<InstanceId> coordinatorOrder(const std::vector<InstanceId> &coordinators,
                                         std::uint64_t key);

// Check by the instance that receives a query

/// Whether `self` accepts queries of this service as a coordinator, that is, whether it would be
/// chosen from this list, or with any one instance removed from it. These are the first k + 1
/// candidates, and for each coordinator the next candidate of its data centre.
///
/// A leaving instance is treated as if it stayed, because the list of the sender may be older. An
/// instance that is not in the list is never a coordinator.
bool isCoordinator(const ServiceId &service, const InstanceList &list, int k,
                   const InstanceId &self);

} // namespace oleander
