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

void RegistryView::onItems(const std::vector<RegistryItem> &items,
                           gateway::RegistryPosition position)
{
    std::vector<gateway::ServerRegistration> registrations;
    std::vector<RegistryItem> mattering;
    for (const RegistryItem &item : items) {
        if (isConfiguration(item)) {
            applyConfiguration(item);
            mattering.push_back(item);
        } else if (isServer(item)) {
            if (auto registration = readServer(item)) {
                registrations.push_back(std::move(*registration));
                mattering.push_back(item);
            }
        }
    }
    m_copy.replaceAll(mattering, position, [this](const auto &held, const auto &given) {
        return hasSameMeaning(held, given);
    });
    m_directory.replaceAll(std::move(registrations), m_timer.now());
}

void RegistryView::onChanges(const std::vector<RegistryItem> &changes,
                             gateway::RegistryPosition position)
{
    for (const RegistryItem &item : changes)
        applyChange(item, position);
}

void RegistryView::applyChange(const RegistryItem &item, gateway::RegistryPosition position)
{
    if (isConfiguration(item)) {
        applyConfiguration(item);
        m_copy.note(item, position);
        return;
    }
    if (!isServer(item))
        return;
    auto registration = item.isRemoved ? std::nullopt : readServer(item);
    if (registration) {
        // Most changes are renewals, which say nothing new.
        if (m_directory.put(std::move(*registration)) || !m_copy.holds(item.key))
            m_copy.note(item, position);
        return;
    }
    m_directory.remove(ServerId(item.key.substr(m_platform.serverPrefix.size())), m_timer.now());
    if (m_copy.holds(item.key))
        m_copy.note({item.key, {}, true}, position);
}

void RegistryView::onReconnected(Duration outage)
{
    if (outage >= m_lease)
        m_directory.onRegistryReconnected(m_timer.now());
}

bool RegistryView::hasSameMeaning(const RegistryItem &held, const RegistryItem &given) const
{
    if (held.value == given.value)
        return true;
    if (!isServer(held))
        return false;
    Reason ignored;
    const auto before = m_platform.readRegistration(held, ignored);
    return before && before == m_platform.readRegistration(given, ignored);
}

bool RegistryView::isConfiguration(const RegistryItem &item) const
{
    return item.key == m_platform.configurationKey;
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

void RegistryView::applyConfiguration(const RegistryItem &item)
{
    if (item.isRemoved)
        return;
    Reason reason;
    auto configuration = m_platform.readConfiguration(item, reason);
    if (configuration)
        m_apply(std::move(*configuration));
    else
        m_log.record(EventId::ConfigurationRefused, {}, {{"cause", reason.text}});
}

} // namespace oleander
