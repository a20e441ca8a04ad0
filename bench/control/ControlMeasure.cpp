#include "ControlMeasure.h"

#include <algorithm>
#include <ctime>
#include <malloc.h>

namespace oleander::bench {

namespace {

constexpr Duration sampling = seconds(1);
constexpr Duration convergenceStep = milliseconds(1);

double inSeconds(Duration span)
{
    return static_cast<double>(span.count()) / 1e6;
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

SpanFigures measureSpan(ControlWorld &world, Duration span)
{
    SpanFigures figures;
    figures.seconds = inSeconds(span);
    const double processorBefore = processorSeconds();
    for (Duration done{}; done < span; done += sampling) {
        const auto calls = world.platform.calls;
        const auto messages = world.network.messages;
        const auto bytes = world.network.bytes;
        world.scheduler.runFor(std::min(sampling, span - done));
        const auto newCalls = static_cast<double>(world.platform.calls - calls);
        const auto newMessages = static_cast<double>(world.network.messages - messages);
        const auto newBytes = static_cast<double>(world.network.bytes - bytes);
        figures.platformCalls += newCalls;
        figures.messages += newMessages;
        figures.bytes += newBytes;
        figures.platformPeak = std::max(figures.platformPeak, newCalls);
        figures.messagePeak = std::max(figures.messagePeak, newMessages);
        figures.bytePeak = std::max(figures.bytePeak, newBytes);
    }
    figures.processorSeconds = processorSeconds() - processorBefore;
    return figures;
}

ConvergenceFigures
measureConvergence(ControlWorld &world,
                   const std::function<bool(const testing::ControlHost &)> &holds, Duration limit)
{
    ConvergenceFigures figures;
    const TimePoint begin = world.scheduler.now();
    std::size_t before = 0;
    while (world.scheduler.now() - begin < limit && !figures.isWhole) {
        world.scheduler.runFor(convergenceStep);
        const auto holding = static_cast<std::size_t>(std::ranges::count_if(
            world.hosts, [&](const auto &item) { return holds(*item.second); }));
        const Duration passed = world.scheduler.now() - begin;
        const std::size_t half = world.hosts.size() / 2;
        if (before == 0 && holding > 0)
            figures.first = passed;
        if (before < half && holding >= half)
            figures.half = passed;
        figures.all = passed;
        figures.isWhole = holding == world.hosts.size();
        before = holding;
    }
    return figures;
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace oleander::bench
