#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Reason.h>
#include <oleander/standins/ExecutionLedger.h>
#include <oleander/standins/HttpListener.h>
#include <oleander/standins/ServerShape.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace oleander::standins {

/// A payload that contains this kills every server that begins to execute it.
inline constexpr std::string_view crashMarker = "!crash!";

/// Stand-in of one backend server: slots, a bounded queue, connections with a cap and a cost,
/// deadlines, cancellation, recognition of repeated non-idempotent requests, and switched faults.
///
/// Speaks the protocol of docs/design/backend-protocol.md. Belongs to the thread that runs the
/// context; the ledger may be shared with servers of other threads and must outlive this.
class ServerStandin
{
public:
    ServerStandin(boost::asio::io_context &context, const Server &server, const ServerShape &shape,
                  ExecutionLedger &ledger);
    ~ServerStandin();
    ServerStandin(const ServerStandin &) = delete;
    ServerStandin &operator=(const ServerStandin &) = delete;

    /// Listens on the server's address and returns the port.
    std::optional<std::uint16_t> listen(Reason &reason);

    // Faults
    /// Loses all work and all connections and refuses new ones.
    void kill();
    /// Listens again on the same port, cold, with no memory.
    void revive();
    void freeze();
    void thaw();
    void silenceOpenConnections();
    void setFaults(const ServerFaults &faults);
    void setLoadReport(LoadReport report);

    [[nodiscard]] ServerFaults faults() const;
    [[nodiscard]] ServerCounts counts() const;
    [[nodiscard]] HttpListenerCounts connections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleander::standins
