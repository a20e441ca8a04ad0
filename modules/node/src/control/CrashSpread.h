#pragma once

#include <oleander/core/Units.h>
#include <oleander/ports/PeerMessage.h>

#include <map>
#include <tuple>
#include <vector>

namespace oleander {

/// Which crashes are known here, and which still have to be passed on to the neighbours.
class CrashSpread
{
public:
    /// Notes a crash. True when it was not known and is younger than `memory`: it is then passed on
    /// once.
    bool note(const CrashNotice &notice, TimePoint now, Duration memory);
    /// Hands out what has to be passed on, with its age now.
    std::vector<CrashNotice> takePending(TimePoint now);
    [[nodiscard]] bool hasPending() const { return !m_pending.empty(); }
    /// Forgets crashes older than `memory`.
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

    std::map<Key, TimePoint> m_seenAt;
    std::vector<Key> m_pending;
};

} // namespace oleander
