#pragma once

#include "TestFleet.h"

#include <span>
#include <string_view>

namespace oleander::fakes {

/// What a fault strikes.
struct FaultTarget
{
    TestFleet &fleet;
    int entry = 0;
    int coordinator = 0;
    ServerId server;
};

/// One row of the fault matrix.
struct FaultKind
{
    std::string_view name;
    /// What happens, for the table in the docs.
    std::string_view meaning;
    /// Strikes now and heals by itself after a while.
    void (*strike)(const FaultTarget &target);
    /// A planned stop: no accepted query may be cut.
    bool isPlanned = false;
    /// A server that is lost meanwhile may look merely slow.
    bool hidesLoss = false;
};

/// All rows, in the order of the matrix.
std::span<const FaultKind> allFaults();

/// Payload of the query that crashes servers.
constexpr std::string_view crashPayload = "crash";

/// The daemon that a query goes to first, by the view of an entry.
int coordinatorOf(const TestFleet &fleet, int entry, const Query &query);

} // namespace oleander::fakes
