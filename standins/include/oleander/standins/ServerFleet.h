#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Reason.h>
#include <oleander/standins/ServerShape.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace oleander::standins {

/// Many stand-in servers in one process, spread over threads of its own, with one admin address:
///
///     GET  /counts                             all servers' counts, executions, doubled runs
///     POST /servers/<id or *>/<action>         kill, revive, freeze, thaw, silence,
///                                              drain?on=1, shed?on=1, otherSnapshot?on=1,
///                                              slow?percent=300, report?mode=zero,
///                                              snapshots?oldest=3&newest=4
///     POST /executed  [["caller","request"]]   {"executed": [index, ...]}: which of them ran
///     POST /reload                             starts servers that were added to the folder
///
/// Members may be called from any thread but the fleet's own.
class ServerFleet
{
public:
    ServerFleet(const ServerShape &shape, int threads);
    ~ServerFleet();
    ServerFleet(const ServerFleet &) = delete;
    ServerFleet &operator=(const ServerFleet &) = delete;

    /// Starts one server and returns its port.
    std::optional<std::uint16_t> addServer(const Server &server, Reason &reason);
    /// Starts every server named in partitions/<service>.json that does not run yet, and returns
    /// how many that were. The file servers.json of the folder, if there, gives the cost of a new
    /// connection to each server, as {"<server>": {"connectionUs": 6000}}.
    std::optional<int> addFolder(const std::string &folder, Reason &reason);
    std::optional<std::uint16_t> listenAdmin(const std::string &address, Reason &reason);

    /// The body of GET /counts.
    [[nodiscard]] std::string countsText();
    /// The action of POST /servers/...; false when there is no such server or action.
    bool act(const std::string &server, const std::string &action);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace oleander::standins
