#include <oleander/decisions/request/PauseDetector.h>

namespace oleander {

Duration noteHeartbeat(PauseDetector &detector, TimePoint now)
{
    const bool isFirst = detector.lastHeartbeat == TimePoint{};
    const Duration gap = now - detector.lastHeartbeat;
    detector.lastHeartbeat = now;
    if (isFirst || gap < pauseThreshold)
        return Duration{};
    detector.gracePeriodEnd = now + gracePeriod;
    return gap;
}

bool isInGracePeriod(const PauseDetector &detector, TimePoint now)
{
    return now < detector.gracePeriodEnd;
}

} // namespace oleander
