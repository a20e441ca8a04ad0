#include <oleander/decisions/request/PauseDetector.h>

namespace oleander {

Duration notePulse(PauseDetector &detector, TimePoint now)
{
    const bool isFirst = detector.lastBeat == TimePoint{};
    const Duration gap = now - detector.lastBeat;
    detector.lastBeat = now;
    if (isFirst || gap < pauseThreshold)
        return Duration{};
    detector.graceUntil = now + pauseGrace;
    return gap;
}

bool isInGrace(const PauseDetector &detector, TimePoint now)
{
    return now < detector.graceUntil;
}

} // namespace oleander
