#pragma once

#include <oleander/adapters/metrics/QueryMetrics.h>
#include <oleander/ports/TimerService.h>
#include <oleander/reports/DaemonBurn.h>

#include <map>

namespace oleander {

/// Keeps the windows of budget burn of one daemon, for `GET /burn`.
///
/// Reads the metrics each burnTick on the thread of its timer service; burn() must be called on
/// that thread too. Memory is bounded by the number of backends. What was counted before the
/// process began is not known; each window says how far it reaches.
class BurnKeeper
{
public:
    /// All of these must outlive the keeper.
    BurnKeeper(const QueryMetrics &metrics, const ViewSource &views, TimerService &timers,
               InstanceId instance);

    /// The windows as of now.
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
    TimePoint m_began;
    std::map<BackendId, Backend> m_backends;
    Subscription m_tick;
};

} // namespace oleander
