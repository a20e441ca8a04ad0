#include <oleander/gateway/ServerDirectory.h>

#include <tuple>
#include <unordered_set>
#include <utility>

namespace oleander::gateway {

namespace {

/// All members but the sequence. The structured binding fails to compile if a member is added to
/// the registration but not listed here.
auto stateOf(const ServerRegistration &registration)
{
    const auto &[id, service, address, dataCentre, slots, isDraining, warmUpLeft, startedAt,
                 sequence] = registration;
    (void)sequence;
    return std::tie(id, service, address, dataCentre, slots, isDraining, warmUpLeft, startedAt);
}

} // namespace

bool ServerRegistration::operator==(const ServerRegistration &other) const
{
    return stateOf(*this) == stateOf(other);
}

ServerDirectory::ServerDirectory(Listener listener)
    : m_listener(std::move(listener))
{
}

bool ServerDirectory::put(ServerRegistration registration)
{
    const ServerId id = registration.id;
    m_missing.erase(id);
    m_removed.erase(id);
    auto &held = m_servers[id];
    held.sequence = registration.sequence;
    if (held == registration)
        return false;
    held = std::move(registration);
    m_listener(id, &held);
    return true;
}

void ServerDirectory::remove(const ServerId &server, TimePoint now)
{
    if (!m_servers.contains(server))
        return;
    if (now < m_gracePeriodEnd)
        m_missing.try_emplace(server, m_gracePeriodEnd);
    else
        drop(server, now);
}

void ServerDirectory::replaceAll(std::vector<ServerRegistration> registrations, TimePoint now)
{
    std::unordered_set<ServerId> present;
    for (ServerRegistration &registration : registrations) {
        present.insert(registration.id);
        put(std::move(registration));
    }
    std::vector<ServerId> absent;
    for (const auto &[id, registration] : m_servers) {
        if (!present.contains(id))
            absent.push_back(id);
    }
    for (const ServerId &id : absent)
        remove(id, now);
}

void ServerDirectory::onRegistryReconnected(TimePoint now)
{
    m_gracePeriodEnd = now + reregistrationPeriod;
}

bool ServerDirectory::isOutdated(const ServerRegistration &registration) const
{
    if (const auto removed = m_removed.find(registration.id); removed != m_removed.end())
        return registration.startedAt <= removed->second.startedAt;
    const ServerRegistration *held = find(registration.id);
    if (!held || *held == registration)
        return false;
    return registration.startedAt < held->startedAt
           || (registration.startedAt == held->startedAt
               && registration.sequence <= held->sequence);
}

void ServerDirectory::expire(TimePoint now)
{
    std::erase_if(m_removed, [now](const auto &entry) {
        return now - entry.second.removedAt > removalMemory;
    });
    if (m_missing.empty() || now < m_gracePeriodEnd)
        return;
    const auto missing = std::exchange(m_missing, {});
    for (const auto &[id, since] : missing)
        drop(id, now);
}

const ServerRegistration *ServerDirectory::find(const ServerId &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

void ServerDirectory::drop(const ServerId &server, TimePoint now)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        m_removed[server] = {found->second.startedAt, now};
        m_servers.erase(found);
    }
    m_missing.erase(server);
    m_listener(server, nullptr);
}

} // namespace oleander::gateway
