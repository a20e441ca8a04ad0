#pragma once

#include <oleander/daemon/GatewayPlatform.h>
#include <oleander/gateway/RegistryFollower.h>
#include <oleander/gateway/ServerDirectory.h>
#include <oleander/ports/EventLog.h>

namespace oleander {

/// Keeps the directory of servers as the registry has it.
class ServerRegistrations final : public gateway::RegistryListener
{
public:
    /// Registrations lapse when the registry has not heard of a server for `lease`.
    ServerRegistrations(const GatewayPlatform &platform, gateway::ServerDirectory &directory,
                        TimerService &timer, EventLog &log, Duration lease);

    void onItems(const std::vector<gateway::RegistryItem> &items) override;
    void onChanges(const std::vector<gateway::RegistryItem> &changes) override;
    void onReturned(Duration outage) override;

    /// The registry was read whole at least once.
    [[nodiscard]] bool isKnown() const { return m_isKnown; }

private:
    std::optional<gateway::ServerRegistration> read(const gateway::RegistryItem &item);
    [[nodiscard]] ServerId idOf(const gateway::RegistryItem &item) const;

    const GatewayPlatform &m_platform;
    gateway::ServerDirectory &m_directory;
    TimerService &m_timer;
    EventLog &m_log;
    Duration m_lease;
    bool m_isKnown = false;
};

/// Puts published configurations in force.
class ConfigurationNews final : public gateway::RegistryListener
{
public:
    using Apply = std::function<void(gateway::GatewayConfiguration)>;

    ConfigurationNews(const GatewayPlatform &platform, EventLog &log, Apply apply);

    void onItems(const std::vector<gateway::RegistryItem> &items) override;
    void onChanges(const std::vector<gateway::RegistryItem> &changes) override;
    void onReturned(Duration) override {}

private:
    const GatewayPlatform &m_platform;
    EventLog &m_log;
    Apply m_apply;
};

} // namespace oleander
