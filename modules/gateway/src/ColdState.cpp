#include <oleander/gateway/ColdState.h>

#include <algorithm>
#include <cmath>

namespace oleander::gateway {

namespace {

/// When a request waits or a second's worth has no reply, the server is asked again after this
/// time.
constexpr Duration recheckDelay = milliseconds(50);
/// An instance that must not send expects an assumption to be confirmed or dropped within this
/// time.
constexpr Duration assumptionRecheck = seconds(1);

} // namespace

void ColdState::configure(const ColdStartRules &rules, const ColdStartShare &share,
                          double initialTokens, TimePoint now)
{
    const bool isSame = rules == m_rules && share.senders == m_share.senders;
    // Another sender may have used the allowance until now.
    const bool isTakenOver = m_rules.hasLimit() && m_share.senders == 0;
    m_rules = rules;
    m_share = share;
    if (isSame || !rules.hasLimit() || share.senders == 0)
        return;
    const double rate = coldStartRate(rules.perSecond);
    if (m_limit && !isTakenOver)
        changeRate(*m_limit, rate, share.senders, now);
    else
        m_limit = startRateLimit(rate, share.senders, isTakenOver ? 0 : initialTokens, now);
}

void ColdState::onStated(Duration left, TimePoint statedAt, TimePoint now)
{
    if (m_isAssumed && statedAt < m_assumedAt) {
        m_until = std::max(*m_until, now + left);
        return;
    }
    if (left > Duration{}) {
        m_until = now + left;
        m_isAssumed = false;
        return;
    }
    // A server that was not cold after all gets its usual requests at once.
    if (m_isAssumed)
        m_until.reset();
    else if (m_until)
        m_until = std::min(*m_until, now);
    m_isAssumed = false;
}

void ColdState::assume(TimePoint now)
{
    if (!hasLimit() || m_rules.warmUp <= Duration{})
        return;
    const TimePoint until = now + m_rules.warmUp;
    m_until = std::max(m_until.value_or(until), until);
    m_isAssumed = true;
    m_assumedAt = now;
}

double ColdState::usualShare(TimePoint now) const
{
    if (!hasLimit() || !m_until)
        return 1;
    return isCold(now) ? 0 : shareAfterColdStart(now - *m_until);
}

Duration ColdState::untilAccepting(int inFlight, int waiting, TimePoint now) const
{
    if (!isCold(now))
        return {};
    if (m_share.senders == 0 || !m_limit)
        return isAssumed(now) ? std::min(timeLeft(now), assumptionRecheck) : timeLeft(now);
    const Duration untilNext = untilToken(*m_limit, now);
    // A network that held requests back delivers them all at once, so that few may be under way. A
    // request that waits is counted when it is sent.
    const int mostInFlight = 1 + static_cast<int>(std::ceil(m_limit->perSecond));
    if (waiting > 0 || inFlight >= mostInFlight)
        return std::min(timeLeft(now), std::max(untilNext, recheckDelay));
    return std::min(timeLeft(now), untilNext);
}

void ColdState::onSent(TimePoint now)
{
    if (m_limit)
        takeToken(*m_limit, now);
}

} // namespace oleander::gateway
