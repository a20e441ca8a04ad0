#pragma once

#include <oleander/core/Units.h>

namespace oleander {

/// Detects that the process was suspended, by gaps between its heartbeats.
struct PauseDetector
{
    TimePoint lastHeartbeat{};
    /// End of the grace period, during which time-outs are not counted as failures and
    /// non-idempotent queries are refused.
    TimePoint gracePeriodEnd{};
};

/// Time between heartbeats.
constexpr Duration heartbeatPeriod = milliseconds(20);
/// Gap between heartbeats from which a pause is assumed.
constexpr Duration pauseThreshold = milliseconds(200);
/// Duration of the grace period after a pause.
constexpr Duration gracePeriod = milliseconds(100);

/// Records a heartbeat; also called before each decision to accept a query. Returns the length of
/// the pause that has just ended, or zero.
Duration noteHeartbeat(PauseDetector &detector, TimePoint now);

[[nodiscard]] bool isInGracePeriod(const PauseDetector &detector, TimePoint now);

} // namespace oleander
