#include "ThreadCounters.h"

#include <oleander/adapters/metrics/QueryMetrics.h>

#include <mutex>
#include <vector>

namespace oleander {

/// The mutex protects the list of threads, which is not used while requests are handled.
struct QueryMetrics::Impl
{
    const ViewSource &views;
    mutable std::mutex mutex;
    std::vector<std::unique_ptr<ThreadCounters>> threads;
};

QueryMetrics::QueryMetrics(const ViewSource &views)
    : m_impl(new Impl{views, {}, {}})
{
}

QueryMetrics::~QueryMetrics() = default;

QueryObserver &QueryMetrics::addThread()
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->threads.push_back(std::make_unique<ThreadCounters>(m_impl->views));
    return *m_impl->threads.back();
}

MetricsTotals QueryMetrics::totals() const
{
    const std::scoped_lock lock(m_impl->mutex);
    MetricsTotals totals;
    for (const auto &thread : m_impl->threads)
        thread->addTo(totals);
    return totals;
}

} // namespace oleander
