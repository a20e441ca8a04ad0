#include "RegistryView.h"

#include <algorithm>
#include <utility>

namespace oleander {

using gateway::RegistryItem;

RegistryView::RegistryView(const GatewayPlatform &platform, gateway::ServerDirectory &directory,
                           TimerService &timer, EventLog &log, Duration lease, Apply apply,
                           Evacuate evacuate)
    : m_platform(platform)
    , m_directory(directory)
    , m_timer(timer)
    , m_log(log)
    , m_lease(lease)
    , m_apply(std::move(apply))
    , m_evacuate(std::move(evacuate))
{
}

void RegistryView::onItems(const std::vector<RegistryItem> &items, const gateway::ListedSpan &span)
{
    if (m_copy.isComplete() && !gateway::isSameHistory(span.first, m_copy.position()))
        onRestored();
    m_heldBack.clear();
    std::vector<gateway::ServerRegistration> registrations;
    std::vector<RegistryItem> mattering;
    if (auto configuration = chooseConfiguration(items))
        mattering.push_back(std::move(*configuration));
    std::ranges::move(chooseEvacuations(items), std::back_inserter(mattering));
    for (const RegistryItem &item : items) {
        auto registration = isServer(item) ? readServer(item) : std::nullopt;
        if (!registration)
            continue;
        mattering.push_back(item);
        if (!isRestoring() || !m_directory.isOutdated(*registration)) {
            registrations.push_back(std::move(*registration));
            continue;
        }
        m_heldBack[item.key] = item;
        if (const auto *known = m_directory.find(registration->id))
            registrations.push_back(*known);
    }
    m_copy.replaceAll(mattering, span, [this](const auto &held, const auto &given) {
        return hasSameMeaning(held, given);
    });
    // Before the servers, so that those of an evacuated data centre get no request at the start.
    applyEvacuations();
    m_directory.replaceAll(std::move(registrations), m_timer.now());
}

void RegistryView::onChanges(const std::vector<RegistryItem> &changes,
                             gateway::RegistryPosition position)
{
    for (const RegistryItem &item : changes)
        applyChange(item, position);
    m_copy.setReceived(position);
}

void RegistryView::applyChange(const RegistryItem &item, gateway::RegistryPosition position)
{
    if (isConfiguration(item)) {
        if (applyConfiguration(item))
            m_copy.note(item, position);
        return;
    }
    if (isEvacuation(item)) {
        applyEvacuationChange(item, position);
        return;
    }
    if (isServer(item))
        applyServerChange(item, position);
}

void RegistryView::applyServerChange(const RegistryItem &item, gateway::RegistryPosition position)
{
    const bool mustNote = !m_copy.hasChangesOfListing();
    m_heldBack.erase(item.key);
    const RegistryItem *held = m_copy.find(item.key);
    auto registration = item.isRemoved ? std::nullopt : readServer(item);
    if (registration) {
        // Most changes are renewals, which say nothing new. The copy has the entries that are held
        // back, too.
        const bool isNew = m_directory.put(std::move(*registration)) || !held;
        if (isNew || mustNote || (isRestoring() && !hasSameMeaning(*held, item)))
            m_copy.note(item, position);
        return;
    }
    m_directory.remove(ServerId(item.key.substr(m_platform.serverPrefix.size())), m_timer.now());
    if (held || mustNote)
        m_copy.note({item.key, {}, true}, position);
}

void RegistryView::onRestored()
{
    const TimePoint now = m_timer.now();
    m_directory.onRegistryReconnected(now);
    // By then each entry was written again or has lapsed.
    const Duration period = m_lease + gateway::ServerDirectory::reregistrationPeriod;
    m_restoringUntil = now + period;
    m_restored = m_timer.callAfter(period, [this](const TimerTick &) { releaseHeldBack(); });
}

void RegistryView::releaseHeldBack()
{
    if (const auto restored = std::exchange(m_restoredEvacuations, std::nullopt)) {
        for (const RegistryItem &held : m_copy.items()) {
            if (isEvacuation(held) && !restored->contains(held.key))
                m_copy.note({held.key, {}, true}, m_copy.position());
        }
        for (const auto &[key, item] : *restored)
            m_copy.note(item, m_copy.position());
        applyEvacuations();
    }
    for (const auto &[key, item] : std::exchange(m_heldBack, {})) {
        if (auto registration = readServer(item))
            m_directory.put(std::move(*registration));
    }
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

bool RegistryView::isEvacuation(const RegistryItem &item) const
{
    return !m_platform.evacuationPrefix.empty()
           && item.key.size() > m_platform.evacuationPrefix.size()
           && item.key.starts_with(m_platform.evacuationPrefix);
}

DataCentreId RegistryView::evacuatedBy(const std::string &key) const
{
    return DataCentreId(key.substr(m_platform.evacuationPrefix.size()));
}

std::vector<RegistryItem> RegistryView::chooseEvacuations(const std::vector<RegistryItem> &items)
{
    std::vector<RegistryItem> present;
    std::ranges::copy_if(items, std::back_inserter(present),
                         [this](const RegistryItem &item) { return isEvacuation(item); });
    if (!isRestoring()) {
        m_restoredEvacuations.reset();
        return present;
    }
    m_restoredEvacuations.emplace();
    for (RegistryItem &item : present)
        m_restoredEvacuations->emplace(item.key, std::move(item));
    std::vector<RegistryItem> held = m_copy.items();
    std::erase_if(held, [this](const RegistryItem &item) { return !isEvacuation(item); });
    return held;
}

void RegistryView::applyEvacuationChange(const RegistryItem &item,
                                         gateway::RegistryPosition position)
{
    if (m_restoredEvacuations) {
        m_restoredEvacuations->erase(item.key);
        if (!item.isRemoved)
            m_restoredEvacuations->emplace(item.key, item);
    }
    m_copy.note(item, position);
    applyEvacuations();
}

void RegistryView::applyEvacuations()
{
    std::set<DataCentreId> evacuated;
    for (const RegistryItem &item : m_copy.items()) {
        if (isEvacuation(item))
            evacuated.insert(evacuatedBy(item.key));
    }
    if (evacuated == m_evacuated)
        return;
    m_evacuated = std::move(evacuated);
    m_evacuate(m_evacuated);
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

std::optional<RegistryItem>
RegistryView::chooseConfiguration(const std::vector<RegistryItem> &items)
{
    const auto found = std::ranges::find_if(
        items, [this](const RegistryItem &item) { return isConfiguration(item); });
    if (found != items.end() && applyConfiguration(*found))
        return *found;
    const RegistryItem *held = m_copy.find(m_platform.configurationKey);
    return held ? std::optional(*held) : std::nullopt;
}

bool RegistryView::applyConfiguration(const RegistryItem &item)
{
    if (item.isRemoved)
        return false;
    Reason reason;
    auto configuration = m_platform.readConfiguration(item, reason);
    if (configuration)
        return m_apply(std::move(*configuration));
    m_log.record(EventId::ConfigurationRefused, {}, {{"cause", reason.text}});
    return true;
}

} // namespace oleander
