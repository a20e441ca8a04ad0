#pragma once

#include <oleander/daemon/GatewayPlatform.h>
#include <oleander/settings/GatewaySettings.h>

#include <memory>

namespace oleander {

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

    /// Opens the listeners. Fails with a reason when an address is taken.
    bool start(Reason &reason);
    /// Serves until a graceful stop has ended.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Reads a gateway's settings file.
std::optional<GatewaySettings> loadGatewaySettings(const std::string &path, Reason &reason);

} // namespace oleander
