#pragma once

#include <oleander/daemon/GatewayPlatform.h>
#include <oleander/settings/GatewaySettings.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace oleander {

/// The ports that a gateway listens on: TCP, but for that of the beacon, which is UDP.
struct GatewayPorts
{
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t metrics = 0;
    std::uint16_t peers = 0;
    std::uint16_t beacon = 0;
};

/// One gateway process: a single thread that takes callers, reads the platform's registry, and
/// sends to backend servers.
///
/// Use: construct, start(), run(). A SIGTERM or SIGINT begins a graceful stop, after which run()
/// returns; SIGHUP reads the settings file again.
class GatewayDaemon
{
public:
    /// `settingsPath` is read again on SIGHUP.
    GatewayDaemon(GatewaySettings settings, std::string settingsPath, GatewayPlatform platform);
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;
    ~GatewayDaemon();

    /// Opens the listeners and begins to read the registry. A port of 0 in the settings lets the
    /// system choose one. Fails with a reason when an address is taken.
    std::optional<GatewayPorts> start(Reason &reason);
    /// Serves until a graceful stop has ended.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Reads a gateway's settings file.
std::optional<GatewaySettings> loadGatewaySettings(const std::string &path, Reason &reason);

} // namespace oleander
