#pragma once

#include <oleander/core/FleetView.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace oleander {

/// Which instances coordinate a service, and which of them takes a query: rendezvous hashing.
///
/// Every daemon computes the same answer from the same list of instances, without messages. Lists
/// lag, so two daemons may disagree for a while: an entry asks the first of coordinatorOrder(), and
/// the asked instance serves when isCoordinator() holds for its own list, which allows for one
/// instance of difference.
///
/// The cost is one hash for each instance and a sort; keep the result for as long as the view that
/// it was computed from is in force.

/// The score of a candidate for a key; higher goes first. Equal on all machines.
std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

// Choosing

/// At most k live instances for a service, in falling preference.
///
/// No data centre gets a second place before each has one. Leaving instances are not chosen. When
/// an instance comes or goes, about 1/N of the places move.
std::vector<InstanceId> coordinatorsFor(const ServiceId &service, const InstanceList &list, int k);

/// The same instances in the order in which a query tries them. Equal keys, for example equal
/// fingerprints, give equal orders, and the order among the others stays when one is removed.
std::vector<InstanceId> coordinatorOrder(const std::vector<InstanceId> &coordinators,
                                         std::uint64_t key);

// Serving

/// Whether `self` serves a query that another instance sent to it as a coordinator: it would be
/// chosen from this list, or from this list without any one instance. That is the first k + 1, and
/// next to each chosen instance the one of its data centre that would take its place.
///
/// A leaving instance still serves what it would serve if it stayed, because the sender's list may
/// be older. An instance that is not in the list does not serve.
bool isCoordinator(const ServiceId &service, const InstanceList &list, int k,
                   const InstanceId &self);

} // namespace oleander
