#include "RegistryView.h"

#include <utility>

namespace oleander {

using gateway::RegistryItem;

ServerRegistrations::ServerRegistrations(const GatewayPlatform &platform,
                                         gateway::ServerDirectory &directory, TimerService &timer,
                                         EventLog &log, Duration lease)
    : m_platform(platform)
    , m_directory(directory)
    , m_timer(timer)
    , m_log(log)
    , m_lease(lease)
{
}

void ServerRegistrations::onItems(const std::vector<RegistryItem> &items)
{
    std::vector<gateway::ServerRegistration> registrations;
    for (const RegistryItem &item : items) {
        if (auto registration = read(item))
            registrations.push_back(std::move(*registration));
    }
    m_directory.replaceAll(std::move(registrations), m_timer.now());
    m_isKnown = true;
}

void ServerRegistrations::onChanges(const std::vector<RegistryItem> &changes)
{
    for (const RegistryItem &item : changes) {
        auto registration = item.isRemoved ? std::nullopt : read(item);
        if (registration)
            m_directory.put(std::move(*registration));
        else
            m_directory.remove(idOf(item), m_timer.now());
    }
}

void ServerRegistrations::onReturned(Duration outage)
{
    if (outage >= m_lease)
        m_directory.registryReturned(m_timer.now());
}

std::optional<gateway::ServerRegistration> ServerRegistrations::read(const RegistryItem &item)
{
    Reason reason;
    auto registration = m_platform.readRegistration(item, reason);
    if (!registration) {
        m_log.record(EventId::RegistrationUnreadable, {},
                     {{"key", item.key}, {"cause", reason.text}});
    }
    return registration;
}

ServerId ServerRegistrations::idOf(const RegistryItem &item) const
{
    return ServerId(item.key.substr(m_platform.serverPrefix.size()));
}

ConfigurationNews::ConfigurationNews(const GatewayPlatform &platform, EventLog &log, Apply apply)
    : m_platform(platform)
    , m_log(log)
    , m_apply(std::move(apply))
{
}

void ConfigurationNews::onItems(const std::vector<RegistryItem> &items)
{
    onChanges(items);
}

void ConfigurationNews::onChanges(const std::vector<RegistryItem> &changes)
{
    for (const RegistryItem &item : changes) {
        if (item.isRemoved || item.key != m_platform.configurationPrefix)
            continue;
        Reason reason;
        auto configuration = m_platform.readConfiguration(item, reason);
        if (configuration)
            m_apply(std::move(*configuration));
        else
            m_log.record(EventId::ConfigurationRefused, {}, {{"cause", reason.text}});
    }
}

} // namespace oleander
