#include "History.h"

#include <cstdio>

namespace oleander::fakes {

void History::note(const std::string &text)
{
    if (!isTracing)
        return;
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", inMilliseconds(clock.now() - start));
    trace.push_back(time + text);
}

} // namespace oleander::fakes
