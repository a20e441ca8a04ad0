#include <oleander/gateway/ServerDirectory.h>

#include <unordered_set>
#include <utility>

namespace oleander::gateway {

ServerDirectory::ServerDirectory(Listener listener)
    : m_listener(std::move(listener))
{
}

bool ServerDirectory::put(ServerRegistration registration)
{
    const ServerId id = registration.id;
    m_missing.erase(id);
    auto &held = m_servers[id];
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
        drop(server);
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

void ServerDirectory::expire(TimePoint now)
{
    if (m_missing.empty() || now < m_gracePeriodEnd)
        return;
    const auto missing = std::exchange(m_missing, {});
    for (const auto &[id, since] : missing)
        drop(id);
}

const ServerRegistration *ServerDirectory::find(const ServerId &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

void ServerDirectory::drop(const ServerId &server)
{
    m_servers.erase(server);
    m_missing.erase(server);
    m_listener(server, nullptr);
}

} // namespace oleander::gateway
