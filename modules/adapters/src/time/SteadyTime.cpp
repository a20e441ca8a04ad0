#include <oleander/adapters/time/SteadyTime.h>

namespace oleander {

TimePoint steadyNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::floor<Duration>(sinceStart));
}

} // namespace oleander
