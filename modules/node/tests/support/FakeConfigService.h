#pragma once

#include "VirtualHost.h"

#include <oleander/ports/PlatformReader.h>

#include <list>
#include <map>
#include <set>

namespace oleander::fakes {

/// The platform's configuration service of a session. It can be down, slow or stale.
class FakeConfigService
{
public:
    explicit FakeConfigService(VirtualClock &clock)
        : m_clock(clock)
    {
    }

    /// Publishes a value under the next version of its key, which is returned.
    SectionVersion publish(const std::string &key, const std::string &body);
    [[nodiscard]] SectionVersion versionOf(const std::string &key) const;
    /// The reader of one daemon; the host must outlive it.
    std::unique_ptr<PlatformReader> connect(VirtualHost &host);

    // Faults
    void setDown(bool isDown) { m_isDown = isDown; }
    void setLatency(Duration latency) { m_latency = latency; }
    /// Answers from a copy in which every key is one version older, or from the truth again.
    void setStale(bool isStale) { m_isStale = isStale; }
    /// One daemon does not reach the service any more.
    void cutOff(const VirtualHost &host) { m_cutOff.insert(&host); }

private:
    friend class FakeConfigReader;

    struct Watch
    {
        VirtualHost *host = nullptr;
        std::string key;
        SectionVersion after;
        PlatformCallback callback;
    };

    void begin(const Watch &watch, Duration wait);
    void answer(const Watch &watch);
    [[nodiscard]] PlatformValue valueFor(const Watch &watch) const;

    VirtualClock &m_clock;
    /// Every version of each key, oldest first.
    std::map<std::string, std::vector<std::string>> m_values;
    std::list<Watch> m_watches;
    Duration m_latency = milliseconds(3);
    std::set<const VirtualHost *> m_cutOff;
    bool m_isDown = false;
    bool m_isStale = false;
};

} // namespace oleander::fakes
