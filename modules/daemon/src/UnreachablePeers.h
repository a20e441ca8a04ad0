#pragma once

#include <oleander/ports/PeerNetwork.h>
#include <oleander/ports/TimerService.h>

namespace oleander {

/// A peer network on which no peer is ever reached.
class UnreachablePeers final : public PeerNetwork
{
public:
    explicit UnreachablePeers(TimerService &timers)
        : m_timers(timers)
    {
    }

    PeerCallId call(const Instance &, PeerRequest, Duration, PeerCallback callback) override
    {
        m_timers.post([callback] { callback({PeerProof::NotProcessed, std::nullopt}); });
        return PeerCallId(++m_last);
    }
    void cancel(PeerCallId) override {}
    void setHandler(PeerHandler *) override {}
    void beginStop() override {}

private:
    TimerService &m_timers;
    std::uint64_t m_last = 0;
};

} // namespace oleander
