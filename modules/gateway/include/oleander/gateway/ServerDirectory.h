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

/// A server as it registered itself.
struct ServerRegistration
{
    ServerId id;
    ServiceId service;
    Address address;
    DataCentreId dataCentre;
    int slots = 1;
    /// True when the server is leaving and wants no new work.
    bool isDraining = false;
    /// How much longer the server is slow after its start.
    Duration warmUpLeft{};
    /// Start of the server's process by its own clock; tells restarts under one id apart.
    std::int64_t startedAt = 0;

    bool operator==(const ServerRegistration &) const = default;
};

/// The servers that are registered, as this instance has heard.
///
/// While the registry can not be reached its content stands still. Registrations can lapse
/// meanwhile although their servers live, so a registration that is missing just after an outage is
/// kept for `returnTime`, and given up only when it has not come back by then.
class ServerDirectory
{
public:
    /// Called for each server whose registration changed; null when it is gone.
    using Listener = std::function<void(const ServerId &, const ServerRegistration *)>;

    explicit ServerDirectory(Listener listener);

    // News of the registry
    /// Returns whether the registration differs from what was held.
    bool put(ServerRegistration registration);
    /// The registry no longer has the server, or what it has can not be used.
    void remove(const ServerId &server, TimePoint now);
    /// The whole content of the registry at one time: what is not in it counts as removed.
    void replaceAll(std::vector<ServerRegistration> registrations, TimePoint now);
    /// The registry answers again after it was out of reach for longer than a lease.
    void registryReturned(TimePoint now);

    /// Gives up the registrations that have not come back in time. Cheap when there are none.
    void expire(TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_servers.size(); }
    [[nodiscard]] const ServerRegistration *find(const ServerId &server) const;

    /// Servers that live register again within this time of the registry's return.
    static constexpr Duration returnTime = milliseconds(2200);

private:
    void drop(const ServerId &server);

    Listener m_listener;
    std::unordered_map<ServerId, ServerRegistration> m_servers;
    /// Missing since the registry's return.
    std::unordered_map<ServerId, TimePoint> m_missing;
    TimePoint m_trustRemovalsFrom{};
};

} // namespace oleander::gateway
