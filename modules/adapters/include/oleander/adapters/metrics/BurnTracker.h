#pragma once

#include <oleander/adapters/metrics/QueryMetrics.h>
#include <oleander/ports/TimerService.h>
#include <oleander/reports/DaemonBurn.h>

#include <map>

namespace oleander {

/// Tracks the error budget burn of one daemon over several time windows, for `GET /burn`.
///
/// Reads the metrics every burnTick on the thread of the timer service; burn() must be called on
/// that thread too. Memory use is proportional to the number of backends. Counts from before the
/// start of the process are not available; each window therefore states how much time it covers.
class BurnTracker
{
public:
    /// All arguments taken by reference must outlive the tracker.
    BurnTracker(const QueryMetrics &metrics, const ViewSource &views, TimerService &timers,
                InstanceId instance);

    /// Returns the current counts of all windows.
    [[nodiscard]] DaemonBurn burn();

private:
    struct Backend
    {
        BurnCounts seen;
        BurnHistory history;
    };

    void readMetrics();

    const QueryMetrics &m_metrics;
    const ViewSource &m_views;
    TimerService &m_timers;
    InstanceId m_instance;
    TimePoint m_startedAt;
    std::map<BackendId, Backend> m_backends;
    Subscription m_tick;
};

} // namespace oleander
