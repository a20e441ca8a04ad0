#include "FakeConfigService.h"

#include <algorithm>

namespace oleander::fakes {

namespace {

/// Owner of the service's events on the clock.
constexpr int serviceOwner = 900;

} // namespace

class FakeConfigReader final : public PlatformReader
{
public:
    FakeConfigReader(FakeConfigService &service, VirtualHost &host)
        : m_service(service)
        , m_host(host)
    {
    }

    void read(const std::string &key, PlatformCallback callback) override
    {
        m_service.begin({&m_host, key, {}, std::move(callback)}, Duration{});
    }
    void watch(const std::string &key, SectionVersion after, Duration wait,
               PlatformCallback callback) override
    {
        m_service.begin({&m_host, key, after, std::move(callback)}, wait);
    }

private:
    FakeConfigService &m_service;
    VirtualHost &m_host;
};

SectionVersion FakeConfigService::publish(const std::string &key, const std::string &body)
{
    m_values[key].push_back(body);
    std::list<Watch> woken;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const auto current = watch++;
        if (current->key == key && valueFor(*current).status == PlatformStatus::Ok)
            woken.splice(woken.end(), m_watches, current);
    }
    for (const Watch &watch : woken)
        answer(watch);
    return versionOf(key);
}

SectionVersion FakeConfigService::versionOf(const std::string &key) const
{
    const auto found = m_values.find(key);
    return SectionVersion(found == m_values.end() ? 0 : found->second.size());
}

std::unique_ptr<PlatformReader> FakeConfigService::connect(VirtualHost &host)
{
    return std::make_unique<FakeConfigReader>(*this, host);
}

void FakeConfigService::begin(const Watch &watch, Duration wait)
{
    m_clock.after(m_latency, serviceOwner, [this, watch, wait] {
        if (valueFor(watch).status != PlatformStatus::NotChanged || wait == Duration{}) {
            answer(watch);
            return;
        }
        m_watches.push_back(watch);
        const auto waiting = std::prev(m_watches.end());
        const VirtualHost *host = waiting->host;
        m_clock.after(wait, serviceOwner, [this, host, key = watch.key, after = watch.after] {
            const auto found = std::ranges::find_if(m_watches, [&](const Watch &each) {
                return each.host == host && each.key == key && each.after == after;
            });
            if (found == m_watches.end())
                return;
            answer(*found);
            m_watches.erase(found);
        });
    });
}

void FakeConfigService::answer(const Watch &watch)
{
    watch.host->run(m_latency,
                    [callback = watch.callback, value = valueFor(watch)] { callback(value); });
}

PlatformValue FakeConfigService::valueFor(const Watch &watch) const
{
    if (m_isDown || m_cutOff.contains(watch.host))
        return {PlatformStatus::Unreachable, {}, {}};
    const auto found = m_values.find(watch.key);
    if (found == m_values.end())
        return {PlatformStatus::NotFound, {}, {}};
    const std::vector<std::string> &versions = found->second;
    const bool isOld = m_isStale && versions.size() > 1;
    const std::size_t version = isOld ? versions.size() - 1 : versions.size();
    // A stale copy does not know that the reader has seen more: it offers what it has.
    if (SectionVersion(version) <= watch.after && !isOld)
        return {PlatformStatus::NotChanged, {}, {}};
    return {PlatformStatus::Ok, SectionVersion(version), versions[version - 1]};
}

} // namespace oleander::fakes
