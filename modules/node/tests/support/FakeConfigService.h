#pragma once

#include "VirtualProcess.h"

#include <oleander/ports/PlatformReader.h>

#include <list>
#include <map>
#include <set>

namespace oleander::fakes {

/// Simulated configuration service of the platform. It can be down, slow or stale.
class FakeConfigService
{
public:
    explicit FakeConfigService(VirtualClock &clock)
        : m_clock(clock)
    {
    }

    /// Publishes a value under the next version of its key and returns that version.
    SectionVersion publish(const std::string &key, const std::string &body);
    [[nodiscard]] SectionVersion versionOf(const std::string &key) const;
    /// Creates the reader of one daemon; the process must outlive it.
    std::unique_ptr<PlatformReader> connect(VirtualProcess &process);

    // Faults
    void setDown(bool isDown) { m_isDown = isDown; }
    void setLatency(Duration latency) { m_latency = latency; }
    /// Serves the previous version of every key, or the current versions again.
    void setStale(bool isStale) { m_isStale = isStale; }
    /// Makes the service unreachable for one daemon.
    void makeUnreachableFor(const VirtualProcess &process) { m_unreachableFor.insert(&process); }

private:
    friend class FakeConfigReader;

    struct PendingRead
    {
        VirtualProcess *process = nullptr;
        std::string key;
        SectionVersion after;
        PlatformCallback callback;
    };

    void startRead(const PendingRead &pendingRead, Duration wait);
    void answer(const PendingRead &pendingRead);
    [[nodiscard]] PlatformValue valueFor(const PendingRead &pendingRead) const;

    VirtualClock &m_clock;
    /// Every version of each key, oldest first.
    std::map<std::string, std::vector<std::string>> m_values;
    std::list<PendingRead> m_pendingReads;
    Duration m_latency = milliseconds(3);
    std::set<const VirtualProcess *> m_unreachableFor;
    bool m_isDown = false;
    bool m_isStale = false;
};

} // namespace oleander::fakes
