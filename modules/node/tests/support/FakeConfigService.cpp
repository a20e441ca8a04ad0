#include "FakeConfigService.h"

#include <algorithm>

namespace oleander::fakes {

namespace {

/// Owner of the service's events on the virtual clock.
constexpr int serviceOwner = 900;

} // namespace

class FakeConfigReader final : public PlatformReader
{
public:
    FakeConfigReader(FakeConfigService &service, VirtualProcess &process)
        : m_service(service)
        , m_process(process)
    {
    }

    void read(const std::string &key, PlatformCallback callback) override
    {
        m_service.startRead({&m_process, key, {}, std::move(callback)}, Duration{});
    }
    void watch(const std::string &key, SectionVersion after, Duration wait,
               PlatformCallback callback) override
    {
        m_service.startRead({&m_process, key, after, std::move(callback)}, wait);
    }

private:
    FakeConfigService &m_service;
    VirtualProcess &m_process;
};

SectionVersion FakeConfigService::publish(const std::string &key, const std::string &body)
{
    m_values[key].push_back(body);
    std::list<PendingRead> answerable;
    for (auto pendingRead = m_pendingReads.begin(); pendingRead != m_pendingReads.end();) {
        const auto current = pendingRead++;
        if (current->key == key && valueFor(*current).status == PlatformStatus::Ok)
            answerable.splice(answerable.end(), m_pendingReads, current);
    }
    for (const PendingRead &pendingRead : answerable)
        answer(pendingRead);
    return versionOf(key);
}

SectionVersion FakeConfigService::versionOf(const std::string &key) const
{
    const auto found = m_values.find(key);
    return SectionVersion(found == m_values.end() ? 0 : found->second.size());
}

std::unique_ptr<PlatformReader> FakeConfigService::connect(VirtualProcess &process)
{
    return std::make_unique<FakeConfigReader>(*this, process);
}

void FakeConfigService::startRead(const PendingRead &pendingRead, Duration wait)
{
    m_clock.after(m_latency, serviceOwner, [this, pendingRead, wait] {
        if (valueFor(pendingRead).status != PlatformStatus::NotChanged || wait == Duration{}) {
            answer(pendingRead);
            return;
        }
        m_pendingReads.push_back(pendingRead);
        const auto added = std::prev(m_pendingReads.end());
        const VirtualProcess *process = added->process;
        m_clock.after(
            wait, serviceOwner, [this, process, key = pendingRead.key, after = pendingRead.after] {
                const auto found =
                    std::ranges::find_if(m_pendingReads, [&](const PendingRead &each) {
                        return each.process == process && each.key == key && each.after == after;
                    });
                if (found == m_pendingReads.end())
                    return;
                answer(*found);
                m_pendingReads.erase(found);
            });
    });
}

void FakeConfigService::answer(const PendingRead &pendingRead)
{
    pendingRead.process->run(m_latency, [callback = pendingRead.callback,
                                         value = valueFor(pendingRead)] { callback(value); });
}

PlatformValue FakeConfigService::valueFor(const PendingRead &pendingRead) const
{
    if (m_isDown || m_unreachableFor.contains(pendingRead.process))
        return {PlatformStatus::Unreachable, {}, {}};
    const auto found = m_values.find(pendingRead.key);
    if (found == m_values.end())
        return {PlatformStatus::NotFound, {}, {}};
    const std::vector<std::string> &versions = found->second;
    const bool isOld = m_isStale && versions.size() > 1;
    const std::size_t version = isOld ? versions.size() - 1 : versions.size();
    // A stale replica returns its own version even if the reader has a newer one.
    if (SectionVersion(version) <= pendingRead.after && !isOld)
        return {PlatformStatus::NotChanged, {}, {}};
    return {PlatformStatus::Ok, SectionVersion(version), versions[version - 1]};
}

} // namespace oleander::fakes
