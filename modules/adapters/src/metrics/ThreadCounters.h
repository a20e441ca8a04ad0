#pragma once

#include <oleander/adapters/metrics/QueryMetrics.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace oleander {

/// A counter that one thread increments and other threads read.
class ThreadCount
{
public:
    void add(std::uint64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t read() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A latency histogram that one thread updates and other threads read.
class ThreadLatencyHistogram
{
public:
    ThreadLatencyHistogram()
        : m_bins(LatencyHistogram::binCount())
    {
    }

    void add(Duration latency) { m_bins[LatencyHistogram::binOf(latency)].add(1); }
    [[nodiscard]] LatencyHistogram read() const;

private:
    std::vector<ThreadCount> m_bins;
};

/// Counters of one thread for one backend.
struct BackendCounters
{
    explicit BackendCounters(BackendId id)
        : backend(std::move(id))
    {
    }

    BackendId backend;
    std::array<ThreadCount, outcomeCount> outcomes;
    std::array<ThreadCount, errorKindCount> errors;
    ThreadCount extraSubRequests;
    ThreadCount queries;
    ThreadCount late;
    ThreadCount shardsAsked;
    ThreadCount shardsMissing;
    ThreadLatencyHistogram latencies;
    /// Used only by the owning thread.
    Duration objective{};
    SectionVersion objectiveVersion;
    bool hasObjective = false;
    BackendCounters *next = nullptr;
};

/// Counters of one thread for one service.
struct ServiceCounters
{
    explicit ServiceCounters(ServiceId id)
        : service(std::move(id))
    {
    }

    ServiceId service;
    std::array<ThreadCount, replyKindCount> replies;
    ThreadCount extra;
    ThreadLatencyHistogram latencies;
    ServiceCounters *next = nullptr;
};

/// Counters by id. One thread adds entries, any thread may iterate. Entries are only removed by the
/// destructor, so readers need no lock. The number of ids is limited, above what any configuration
/// uses; all further ids share the entry "other".
template <typename Id, typename Counters>
class CounterList
{
public:
    CounterList() = default;
    CounterList(const CounterList &) = delete;
    CounterList &operator=(const CounterList &) = delete;
    ~CounterList()
    {
        for (auto &[id, counters] : m_byId)
            delete counters;
    }

    /// Returns the counters of an id and adds them if necessary. Only for the owning thread.
    Counters &of(const Id &id)
    {
        if (Counters *known = find(id))
            return *known;
        const Id other("other");
        if (m_byId.size() >= maximumNames && id != other)
            return of(other);
        auto *counters = new Counters(id);
        counters->next = m_first.load(std::memory_order_relaxed);
        m_byId.emplace(id, counters);
        m_first.store(counters, std::memory_order_release);
        return *counters;
    }

    /// Returns the counters of an id, or null if there are none. Only for the owning thread.
    Counters *find(const Id &id)
    {
        const auto found = m_byId.find(id);
        return found == m_byId.end() ? nullptr : found->second;
    }

    /// Returns the first entry of the list. May be called from any thread.
    [[nodiscard]] const Counters *first() const { return m_first.load(std::memory_order_acquire); }

private:
    static constexpr std::size_t maximumNames = 256;

    std::unordered_map<Id, Counters *> m_byId;
    std::atomic<Counters *> m_first{nullptr};
};

/// Query observer that counts for one thread.
class ThreadCounters : public QueryObserver
{
public:
    explicit ThreadCounters(const ViewSource &views)
        : m_views(views)
    {
    }

    void onQueryFinished(const Query &query, const Answer &answer, Duration latency) override;
    void onSubRequestFinished(const SubRequestRecord &record) override;

    /// Adds this thread's counts to the totals. May be called from any thread.
    void addTo(MetricsTotals &totals) const;

private:
    /// Returns the counters of a backend; all unpublished backend names share one entry.
    BackendCounters &countersOf(const BackendId &backend);
    Duration objectiveOf(BackendCounters &counters);

    const ViewSource &m_views;
    CounterList<BackendId, BackendCounters> m_backends;
    CounterList<ServiceId, ServiceCounters> m_services;
};

} // namespace oleander
