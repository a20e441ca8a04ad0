#pragma once

#include "TestFleet.h"

#include <span>
#include <string_view>

namespace oleander::fakes {

/// The fleet, the daemons and the server that a fault affects.
struct FaultTarget
{
    TestFleet &fleet;
    int entry = 0;
    int coordinator = 0;
    ServerId server;
};

/// A kind of fault, which is one row of the fault matrix.
struct FaultKind
{
    std::string_view name;
    /// Description for the table in docs/fault-matrix.md.
    std::string_view description;
    /// Injects the fault and schedules its end, if it has one.
    void (*inject)(const FaultTarget &target);
    /// The fault is a planned stop: every accepted query must still get a complete answer.
    bool isPlannedStop = false;
    /// The fault can make a lost server look like a slow one.
    bool canMaskServerLoss = false;
};

/// All faults, in the order of the rows of the matrix.
std::span<const FaultKind> allFaults();

/// Payload of a query that crashes the servers that execute it.
constexpr std::string_view crashPayload = "crash";

/// Index of the daemon that an entry instance forwards a query to first, according to its view.
int coordinatorOf(const TestFleet &fleet, int entry, const Query &query);

} // namespace oleander::fakes
