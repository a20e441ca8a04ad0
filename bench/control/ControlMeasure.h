#pragma once

#include "ControlWorld.h"

#include <functional>
#include <string>

namespace oleander::bench {

/// What happened over a span of virtual time, in all.
struct SpanFigures
{
    double seconds = 0;
    double platformCalls = 0;
    /// Most platform calls in one second of virtual time.
    double platformPeak = 0;
    double messages = 0;
    /// Most messages in one second of virtual time.
    double messagePeak = 0;
    double bytes = 0;
    double bytePeak = 0;
    /// Processor time of this process, including the fakes, in seconds.
    double processorSeconds = 0;
};

/// Runs the world for a span and counts.
SpanFigures measureSpan(ControlWorld &world, Duration span);

/// How long a change took until half of the daemons, and all, held it in force.
struct ConvergenceFigures
{
    /// From the publication to the first daemon.
    Duration first{};
    /// From the publication.
    Duration half{};
    Duration all{};
    bool isWhole = false;
};

/// Runs until a condition holds for every daemon, or up to a limit.
ConvergenceFigures
measureConvergence(ControlWorld &world,
                   const std::function<bool(const testing::ControlHost &)> &holds, Duration limit);

/// Bytes in use on this process's heap.
std::size_t heapBytes();

} // namespace oleander::bench
