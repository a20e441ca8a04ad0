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

/// Everything counted of one backend at the entry since the start of the process.
struct BackendTotals
{
    std::array<std::uint64_t, outcomeCount> outcomes{};
    std::array<std::uint64_t, errorKindCount> errors{};
    std::uint64_t extraSubRequests = 0;
    BurnCounts burn;
};

/// Everything counted of one service at its coordinator since the start of the process.
struct ServiceTotals
{
    std::array<std::uint64_t, replyKindCount> replies{};
    std::uint64_t extra = 0;
    LatencyHistogram latencies;
};

/// All threads of a process added up.
struct MetricsTotals
{
    std::map<BackendId, BackendTotals> backends;
    std::map<ServiceId, ServiceTotals> services;
};

/// Counts finished queries and sub-requests of a daemon.
///
/// Each thread counts into an observer of its own, in relaxed atomics that no other thread writes,
/// so counting takes no lock and waits for nobody. Whoever reads adds the threads up. Sums may be
/// a few requests behind and, between two members of one sum, a request apart; each only grows.
///
/// Use: addThread() once for each worker thread before it serves, totals() from any thread.
/// Neighbours: BurnKeeper turns totals into windows, prometheusText() into a page.
class QueryMetrics
{
public:
    /// The views give the latency objective of a backend; they must outlive the metrics.
    explicit QueryMetrics(const ViewSource &views);
    ~QueryMetrics();
    QueryMetrics(const QueryMetrics &) = delete;
    QueryMetrics &operator=(const QueryMetrics &) = delete;

    /// The observer of one thread, valid as long as the metrics. Only that thread may call it.
    QueryObserver &addThread();

    /// What all threads counted until now. Safe from any thread, not for the path of a request.
    [[nodiscard]] MetricsTotals totals() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
