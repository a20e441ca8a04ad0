#pragma once

#include <oleander/core/Units.h>

namespace oleander {

/// Token bucket: one sender's share of a rate that a receiver accepts from all senders together.
struct RateLimit
{
    /// Requests per second that this sender may send.
    double perSecond = 0;
    double tokens = 0;
    TimePoint updatedAt{};
};

/// The share of one of `senders` senders in the rate `perSecond` of all. `initialTokens`, from 0 to
/// 1, differs between senders, so that they do not all send at the same moment.
[[nodiscard]] RateLimit startRateLimit(double perSecond, int senders, double initialTokens,
                                       TimePoint now);

/// Changes the rate or the number of senders. Tokens are kept.
void changeRate(RateLimit &limit, double perSecond, int senders, TimePoint now);

/// Time until a request may be sent; zero if it may be sent now.
[[nodiscard]] Duration untilToken(const RateLimit &limit, TimePoint now);

/// Takes the token of a request that is sent now.
void takeToken(RateLimit &limit, TimePoint now);

} // namespace oleander
