#pragma once

#include <oleander/daemon/GatewayPlatform.h>
#include <oleander/gateway/RegistryCopy.h>
#include <oleander/gateway/RegistryFollower.h>
#include <oleander/gateway/ServerDirectory.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/TimerService.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleander {

/// Takes what is read from the registry: keeps the directory of servers, and puts published
/// configurations in force.
///
/// After the registry was restored from an older copy, entries that are older than what is known of
/// their servers are held back until they have been written again or have lapsed.
class RegistryView final : public gateway::RegistryListener
{
public:
    /// Returns false if a later configuration is in force.
    using Apply = std::function<bool(gateway::GatewayConfiguration)>;

    /// Registrations lapse when the registry has not heard of a server for `lease`.
    RegistryView(const GatewayPlatform &platform, gateway::ServerDirectory &directory,
                 TimerService &timer, EventLog &log, Duration lease, Apply apply);

    void onItems(const std::vector<gateway::RegistryItem> &items,
                 gateway::RegistryPosition position) override;
    void onChanges(const std::vector<gateway::RegistryItem> &changes,
                   gateway::RegistryPosition position) override;
    void onReconnected(Duration outage) override;

    /// The registry was read whole at least once.
    [[nodiscard]] bool isKnown() const { return m_copy.isComplete(); }
    /// What was read, for other instances.
    [[nodiscard]] const gateway::RegistryCopy &copy() const { return m_copy; }

private:
    [[nodiscard]] bool hasSameMeaning(const gateway::RegistryItem &held,
                                      const gateway::RegistryItem &given) const;
    [[nodiscard]] bool isServer(const gateway::RegistryItem &item) const;
    [[nodiscard]] bool isConfiguration(const gateway::RegistryItem &item) const;
    std::optional<gateway::ServerRegistration> readServer(const gateway::RegistryItem &item);
    void applyChange(const gateway::RegistryItem &item, gateway::RegistryPosition position);
    /// Returns false if a later configuration is in force.
    bool applyConfiguration(const gateway::RegistryItem &item);
    /// The configuration to be kept in the copy: the registry's, or the held one if that is later.
    std::optional<gateway::RegistryItem>
    chooseConfiguration(const std::vector<gateway::RegistryItem> &items);
    void onRestored();
    void releaseHeldBack();
    [[nodiscard]] bool isRestoring() const { return m_timer.now() < m_restoringUntil; }

    const GatewayPlatform &m_platform;
    gateway::ServerDirectory &m_directory;
    TimerService &m_timer;
    EventLog &m_log;
    Duration m_lease;
    Apply m_apply;
    gateway::RegistryCopy m_copy;
    /// Entries of a restored registry that are older than what is known of their servers, by key.
    std::map<std::string, gateway::RegistryItem> m_heldBack;
    TimePoint m_restoringUntil{};
    Subscription m_restored;
};

} // namespace oleander
