#include "RegistryView.h"

#include <utility>

namespace oleander {

using gateway::RegistryItem;

RegistryView::RegistryView(const GatewayPlatform &platform, gateway::ServerDirectory &directory,
                           TimerService &timer, EventLog &log, Duration lease, Apply apply)
    : m_platform(platform)
    , m_directory(directory)
    , m_timer(timer)
    , m_log(log)
    , m_lease(lease)
    , m_apply(std::move(apply))
{
}

void RegistryView::onItems(const std::vector<RegistryItem> &items)
{
    std::vector<gateway::ServerRegistration> registrations;
    for (const RegistryItem &item : items) {
        applyIfConfiguration(item);
        if (!isServer(item))
            continue;
        if (auto registration = readServer(item))
            registrations.push_back(std::move(*registration));
    }
    m_directory.replaceAll(std::move(registrations), m_timer.now());
    m_isKnown = true;
}

void RegistryView::onChanges(const std::vector<RegistryItem> &changes)
{
    for (const RegistryItem &item : changes) {
        applyIfConfiguration(item);
        if (!isServer(item))
            continue;
        auto registration = item.isRemoved ? std::nullopt : readServer(item);
        if (registration)
            m_directory.put(std::move(*registration));
        else
            m_directory.remove(ServerId(item.key.substr(m_platform.serverPrefix.size())),
                               m_timer.now());
    }
}

void RegistryView::onReturned(Duration outage)
{
    if (outage >= m_lease)
        m_directory.registryReturned(m_timer.now());
}

bool RegistryView::isServer(const RegistryItem &item) const
{
    return item.key.starts_with(m_platform.serverPrefix);
}

std::optional<gateway::ServerRegistration> RegistryView::readServer(const RegistryItem &item)
{
    Reason reason;
    auto registration = m_platform.readRegistration(item, reason);
    if (!registration) {
        m_log.record(EventId::RegistrationUnreadable, {},
                     {{"key", item.key}, {"cause", reason.text}});
    }
    return registration;
}

void RegistryView::applyIfConfiguration(const RegistryItem &item)
{
    if (item.isRemoved || item.key != m_platform.configurationKey)
        return;
    Reason reason;
    auto configuration = m_platform.readConfiguration(item, reason);
    if (configuration)
        m_apply(std::move(*configuration));
    else
        m_log.record(EventId::ConfigurationRefused, {}, {{"cause", reason.text}});
}

} // namespace oleander
