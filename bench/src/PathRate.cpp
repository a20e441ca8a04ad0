#include <oleander/bench/PathRate.h>

#include <ctime>

namespace oleander::bench {

double PathRate::perSecond() const
{
    constexpr double microsInSecond = 1e6;
    return static_cast<double>(exchanges) * microsInSecond / static_cast<double>(wall.count());
}

double PathRate::processorMicros() const
{
    return static_cast<double>(processor.count()) / static_cast<double>(exchanges);
}

Duration threadProcessorTime()
{
    constexpr std::int64_t microsInSecond = 1000000;
    constexpr std::int64_t nanosInMicro = 1000;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return Duration(time.tv_sec * microsInSecond + time.tv_nsec / nanosInMicro);
}

} // namespace oleander::bench
