#pragma once

#include <oleander/core/ErrorKind.h>
#include <oleander/ports/QueryObserver.h>
#include <oleander/ports/ViewSource.h>
#include <oleander/reports/BurnCounts.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace oleander {

constexpr std::size_t outcomeCount = static_cast<std::size_t>(Outcome::Unknown) + 1;
constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;
constexpr std::size_t replyKindCount = static_cast<std::size_t>(ReplyKind::Failed) + 1;

/// Counts of one backend's queries at the entry instance, since the start of the process.
struct BackendTotals
{
    std::array<std::uint64_t, outcomeCount> outcomes{};
    std::array<std::uint64_t, errorKindCount> errors{};
    std::uint64_t extraSubRequests = 0;
    BurnCounts burn;
};

/// Counts of one service's sub-requests at its coordinator, since the start of the process.
struct ServiceTotals
{
    std::array<std::uint64_t, replyKindCount> replies{};
    std::uint64_t extra = 0;
    LatencyHistogram latencies;
};

/// Sums over all threads of a process.
struct MetricsTotals
{
    std::map<BackendId, BackendTotals> backends;
    std::map<ServiceId, ServiceTotals> services;
};

/// Counts finished queries and sub-requests of a daemon.
///
/// Each thread has its own observer with relaxed atomic counters that no other thread writes, so
/// counting is wait-free. totals() adds up the counters of all threads. Totals may lag by a few
/// requests, and two members of one total may differ by a request in progress; each count only
/// increases.
///
/// Call addThread() once for each worker thread before that thread handles requests; call totals()
/// from any thread. BurnTracker computes time windows from the totals, prometheusText() the metrics
/// page.
class QueryMetrics
{
public:
    /// The latency objectives of the backends are read from `views`, which must outlive the
    /// metrics.
    explicit QueryMetrics(const ViewSource &views);
    ~QueryMetrics();
    QueryMetrics(const QueryMetrics &) = delete;
    QueryMetrics &operator=(const QueryMetrics &) = delete;

    /// Creates the observer for one thread, valid as long as the metrics exist. Only that thread
    /// may call the observer.
    QueryObserver &addThread();

    /// Returns the sums over all threads. May be called from any thread, but takes a lock and is
    /// too slow for request handling.
    [[nodiscard]] MetricsTotals totals() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
