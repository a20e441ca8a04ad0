#pragma once

#include <oleander/daemon/GatewayPlatform.h>
#include <oleander/gateway/RegistryCopy.h>
#include <oleander/gateway/RegistryFollower.h>
#include <oleander/gateway/ServerDirectory.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/TimerService.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleander {

/// Takes what is read from the registry: keeps the directory of servers, and puts published
/// configurations in force.
///
/// After the registry was restored from an older copy, entries that are older than what is known of
/// their servers are held back until they have been written again or have lapsed. Evacuations that
/// the copy lacks stay in force, and those that it has are not begun, until the operator has
/// written them again or as much time has passed.
class RegistryView final : public gateway::RegistryListener
{
public:
    /// Returns false if a later configuration is in force.
    using Apply = std::function<bool(gateway::GatewayConfiguration)>;

    /// Called with the data centres that are evacuated, when they have changed.
    using Evacuate = std::function<void(const std::set<DataCentreId> &)>;

    /// Registrations lapse when the registry has not heard of a server for `lease`.
    RegistryView(const GatewayPlatform &platform, gateway::ServerDirectory &directory,
                 TimerService &timer, EventLog &log, Duration lease, Apply apply,
                 Evacuate evacuate);

    void onItems(const std::vector<gateway::RegistryItem> &items,
                 const gateway::ListedSpan &span) override;
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
    [[nodiscard]] bool isEvacuation(const gateway::RegistryItem &item) const;
    [[nodiscard]] DataCentreId evacuatedBy(const std::string &key) const;
    std::optional<gateway::ServerRegistration> readServer(const gateway::RegistryItem &item);
    void applyChange(const gateway::RegistryItem &item, gateway::RegistryPosition position);
    void applyServerChange(const gateway::RegistryItem &item, gateway::RegistryPosition position);
    /// Returns false if a later configuration is in force.
    bool applyConfiguration(const gateway::RegistryItem &item);
    /// The configuration to be kept in the copy: the registry's, or the held one if that is later.
    std::optional<gateway::RegistryItem>
    chooseConfiguration(const std::vector<gateway::RegistryItem> &items);
    /// The evacuations to be kept in the copy: the registry's, or the held ones while it is being
    /// restored.
    std::vector<gateway::RegistryItem>
    chooseEvacuations(const std::vector<gateway::RegistryItem> &items);
    void applyEvacuationChange(const gateway::RegistryItem &item,
                               gateway::RegistryPosition position);
    /// Puts the evacuations that the copy holds in force.
    void applyEvacuations();
    void onRestored();
    void releaseHeldBack();
    [[nodiscard]] bool isRestoring() const { return m_timer.now() < m_restoringUntil; }

    const GatewayPlatform &m_platform;
    gateway::ServerDirectory &m_directory;
    TimerService &m_timer;
    EventLog &m_log;
    Duration m_lease;
    Apply m_apply;
    Evacuate m_evacuate;
    std::set<DataCentreId> m_evacuated;
    /// Evacuations of a restored registry, by key, until it is known which of them hold.
    std::optional<std::map<std::string, gateway::RegistryItem>> m_restoredEvacuations;
    gateway::RegistryCopy m_copy;
    /// Entries of a restored registry that are older than what is known of their servers, by key.
    std::map<std::string, gateway::RegistryItem> m_heldBack;
    TimePoint m_restoringUntil{};
    Subscription m_restored;
};

} // namespace oleander
