#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>
#include <oleander/settings/Address.h>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleander::gateway {

/// A server's registration.
struct ServerRegistration
{
    ServerId id;
    ServiceId service;
    Address address;
    DataCentreId dataCentre;
    int slots = 1;
    /// True when the server is shutting down and accepts no new work.
    bool isDraining = false;
    /// Remaining time in which the server is slow after its start.
    Duration warmUpLeft{};
    /// Start time of the server process by its own clock; distinguishes restarts under the same id.
    std::int64_t startedAt = 0;
    /// Rises each time the server writes its entry; starts anew with the process.
    std::int64_t sequence = 0;

    /// Equal apart from the sequence.
    [[nodiscard]] bool operator==(const ServerRegistration &other) const;
};

/// The registered servers, as known to this instance.
///
/// The content does not change while the registry is unreachable. Leases may expire in that time
/// although their servers are alive. A registration that is missing just after an outage is
/// therefore kept for `reregistrationPeriod`, and removed if it has not been renewed by then. The
/// same holds after the registry has come back from an older copy, which lacks the servers that
/// registered since.
class ServerDirectory
{
public:
    /// Called for each server whose registration changed, with null if it was removed.
    using Listener = std::function<void(const ServerId &, const ServerRegistration *)>;

    explicit ServerDirectory(Listener listener);

    // Registry updates
    /// Adds or updates a registration. Returns true if it differs from the previous one.
    bool put(ServerRegistration registration);
    /// Called when the registry no longer has the server, or its entry is invalid.
    void remove(const ServerId &server, TimePoint now);
    /// Replaces the whole content with that of the registry; servers that are missing are removed.
    void replaceAll(std::vector<ServerRegistration> registrations, TimePoint now);
    /// Called when the registry answers again after an outage longer than a lease, or was restored
    /// from an older copy.
    void onRegistryReconnected(TimePoint now);
    /// Whether an entry of a restored registry is older than what is known of its server: it is
    /// from before the server drained or was removed, or from an earlier process.
    [[nodiscard]] bool isOutdated(const ServerRegistration &registration) const;

    /// Removes the registrations that were not renewed within the grace period.
    void expire(TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_servers.size(); }
    [[nodiscard]] const ServerRegistration *find(const ServerId &server) const;

    /// Servers that are alive register again within this time after the registry returns.
    static constexpr Duration reregistrationPeriod = milliseconds(2200);
    /// For how long removed servers are remembered. A registry is restored from a copy that is some
    /// seconds old.
    static constexpr Duration removalMemory = seconds(60);

private:
    struct Removal
    {
        std::int64_t startedAt = 0;
        TimePoint removedAt{};
    };

    void drop(const ServerId &server, TimePoint now);

    Listener m_listener;
    std::unordered_map<ServerId, ServerRegistration> m_servers;
    /// Servers without a registration since the registry returned.
    std::unordered_map<ServerId, TimePoint> m_missing;
    std::unordered_map<ServerId, Removal> m_removed;
    TimePoint m_gracePeriodEnd{};
};

} // namespace oleander::gateway
