#include <oleander/decisions/request/RateLimit.h>

#include <algorithm>
#include <cmath>

namespace oleander {

namespace {

/// A receiver that accepts nothing gets a request so often, which shows when it accepts more.
constexpr double minimumPerSecond = 0.05;
/// Time over which a sender may save tokens, beyond the one that it needs to send at all. All
/// senders together exceed the rate by this much of it at most, and by one request each.
constexpr double burstSeconds = 0.25;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double shareOf(double perSecond, int senders)
{
    return std::max(perSecond, minimumPerSecond) / std::max(1, senders);
}

double tokensAt(const RateLimit &limit, TimePoint now)
{
    return std::min(1 + burstSeconds * limit.perSecond,
                    limit.tokens + limit.perSecond * secondsOf(now - limit.updatedAt));
}

} // namespace

RateLimit startRateLimit(double perSecond, int senders, double initialTokens, TimePoint now)
{
    return {shareOf(perSecond, senders), initialTokens, now};
}

void changeRate(RateLimit &limit, double perSecond, int senders, TimePoint now)
{
    limit.tokens = tokensAt(limit, now);
    limit.updatedAt = now;
    limit.perSecond = shareOf(perSecond, senders);
}

Duration untilToken(const RateLimit &limit, TimePoint now)
{
    const double missing = 1 - tokensAt(limit, now);
    if (missing <= 0)
        return {};
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / limit.perSecond));
}

void takeToken(RateLimit &limit, TimePoint now)
{
    limit.tokens = tokensAt(limit, now) - 1;
    limit.updatedAt = now;
}

} // namespace oleander
