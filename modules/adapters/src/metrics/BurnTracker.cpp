#include <oleander/adapters/metrics/BurnTracker.h>
#include <oleander/settings/PolicyFor.h>

namespace oleander {

BurnTracker::BurnTracker(const QueryMetrics &metrics, const ViewSource &views, TimerService &timers,
                         InstanceId instance)
    : m_metrics(metrics)
    , m_views(views)
    , m_timers(timers)
    , m_instance(std::move(instance))
    , m_startedAt(timers.now())
    , m_tick(timers.callEvery(burnTick, [this](const TimerTick &) { readMetrics(); }))
{
}

void BurnTracker::readMetrics()
{
    const MetricsTotals totals = m_metrics.totals();
    const TimePoint now = m_timers.now();
    for (const auto &[id, backendTotals] : totals.backends) {
        if (backendTotals.burn.queries == 0)
            continue;
        const auto [entry, isNew] = m_backends.try_emplace(id);
        Backend &backend = entry->second;
        if (isNew)
            backend.history = makeHistory(m_startedAt);
        advance(backend.history, now, difference(backendTotals.burn, backend.seen));
        backend.seen = backendTotals.burn;
    }
}

DaemonBurn BurnTracker::burn()
{
    readMetrics();
    const TimePoint now = m_timers.now();
    const std::shared_ptr<const FleetView> view = m_views.view();
    const bool hasPolicies = view && view->policies;
    DaemonBurn burn;
    burn.instance = m_instance;
    burn.configuration = hasPolicies ? view->policies->version : SectionVersion{};
    for (const auto &[id, backend] : m_backends) {
        BackendBurn result;
        result.backend = id;
        Subject subject;
        subject.backend = id;
        result.objectives =
            objectivesOf(hasPolicies ? policyFor(*view->policies, subject) : Policy{});
        for (std::size_t window = 0; window < burnWindows.size(); ++window)
            result.windows.at(window) = countsOver(backend.history, window, now);
        burn.backends.push_back(std::move(result));
    }
    return burn;
}

} // namespace oleander
