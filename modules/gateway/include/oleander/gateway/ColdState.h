#pragma once

#include <oleander/decisions/request/ColdStart.h>
#include <oleander/decisions/request/RateLimit.h>

#include <optional>

namespace oleander::gateway {

/// What this instance knows of whether one server is cold, and what it may send meanwhile. Without
/// a limit of the service no server is cold.
class ColdState
{
public:
    /// Sets the rules of the service and this instance's share. `initialTokens` is that of a
    /// RateLimit.
    void configure(const ColdStartRules &rules, const ColdStartShare &share, double initialTokens,
                   TimePoint now);

    // What shows whether the server is cold
    /// The server has stated the rest of its cold time, as of `statedAt` or later. An earlier
    /// statement does not shorten an assumption that was made since.
    void onStated(Duration left, TimePoint statedAt, TimePoint now);
    /// Something happened after which servers are cold: the server is taken as cold until it states
    /// otherwise, for the warm-up time of the service at most.
    void assume(TimePoint now);

    [[nodiscard]] bool hasLimit() const { return m_rules.hasLimit(); }
    [[nodiscard]] bool isCold(TimePoint now) const
    {
        return hasLimit() && m_until && now < *m_until;
    }
    /// Whether the server is taken as cold without having stated it.
    [[nodiscard]] bool isAssumed(TimePoint now) const { return m_isAssumed && isCold(now); }
    [[nodiscard]] Duration timeLeft(TimePoint now) const
    {
        return isCold(now) ? *m_until - now : Duration{};
    }
    /// Part of the usual requests that the server gets: 0 while it is cold, then rising to 1.
    [[nodiscard]] double usualShare(TimePoint now) const;
    [[nodiscard]] const ColdStartShare &share() const { return m_share; }

    // Requests
    /// Time until this instance may send a request. `inFlight` counts its requests without a reply,
    /// `waiting` those of them that have not been sent. Zero if the server is not cold.
    [[nodiscard]] Duration untilAccepting(int inFlight, int waiting, TimePoint now) const;
    /// Called for each request that is sent while the server is cold.
    void onSent(TimePoint now);

private:
    ColdStartRules m_rules;
    ColdStartShare m_share;
    /// End of the cold time; nothing if the server has not been cold.
    std::optional<TimePoint> m_until;
    bool m_isAssumed = false;
    TimePoint m_assumedAt{};
    /// This instance's part in the allowance. Kept from one cold time to the next, so that each
    /// does not bring a saved request.
    std::optional<RateLimit> m_limit;
};

} // namespace oleander::gateway
