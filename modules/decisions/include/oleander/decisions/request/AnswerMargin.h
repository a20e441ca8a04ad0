#pragma once

#include <oleander/core/Units.h>

#include <optional>

namespace oleander {

/// What is known of the way between a caller and this process.
struct AnswerWay
{
    /// Round trip of the caller's connection, if it is known.
    std::optional<Duration> roundTrip;
    /// How late timers of this process fire, at a high quantile.
    Duration wakeUpLateness{};
};

/// Time to be kept back from a route's objective: an answer that is sent that much earlier reaches
/// its caller in time. Includes the way of the request, which the caller counts, too.
[[nodiscard]] Duration answerMargin(const AnswerWay &way);

} // namespace oleander
