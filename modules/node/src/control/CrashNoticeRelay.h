#pragma once

#include <oleander/core/Units.h>
#include <oleander/ports/PeerMessage.h>

#include <map>
#include <tuple>
#include <vector>

namespace oleander {

/// Remembers the crash notices that are known, and queues new ones to be sent to the neighbours.
class CrashNoticeRelay
{
public:
    /// Adds a notice. Returns true if it was unknown and is younger than `memory`; it is then
    /// queued to be passed on once.
    bool add(const CrashNotice &notice, TimePoint now, Duration memory);
    /// Removes the queued notices and returns them with their current age.
    std::vector<CrashNotice> takePending(TimePoint now);
    [[nodiscard]] bool hasPending() const { return !m_pending.empty(); }
    /// Removes notices older than `memory`.
    void expire(TimePoint now, Duration memory);

private:
    struct Key
    {
        ServiceId service;
        Fingerprint fingerprint;
        ServerId server;

        bool operator<(const Key &other) const
        {
            return std::tie(service, fingerprint, server)
                   < std::tie(other.service, other.fingerprint, other.server);
        }
    };

    std::map<Key, TimePoint> m_knownSince;
    std::vector<Key> m_pending;
};

} // namespace oleander
