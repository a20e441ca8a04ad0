#pragma once

#include <oleander/adapters/metrics/QueryMetrics.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace oleander {

/// A count that one thread raises and others read.
class ThreadCount
{
public:
    void add(std::uint64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t read() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// Latency bins that one thread raises and others read.
class ThreadBins
{
public:
    ThreadBins()
        : m_bins(LatencyHistogram::binCount())
    {
    }

    void add(Duration latency) { m_bins[LatencyHistogram::binOf(latency)].add(1); }
    [[nodiscard]] LatencyHistogram read() const;

private:
    std::vector<ThreadCount> m_bins;
};

/// Counts of one backend by one thread.
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
    ThreadBins latencies;
    /// Of the owning thread only.
    Duration objective{};
    SectionVersion objectiveVersion;
    bool hasObjective = false;
    BackendCounters *next = nullptr;
};

/// Counts of one service by one thread.
struct ServiceCounters
{
    explicit ServiceCounters(ServiceId id)
        : service(std::move(id))
    {
    }

    ServiceId service;
    std::array<ThreadCount, replyKindCount> replies;
    ThreadCount extra;
    ThreadBins latencies;
    ServiceCounters *next = nullptr;
};

/// Counters by name: added to by one thread, listed by any. Nothing is removed before the end, so
/// a reader needs no lock. Beyond a number of names that no configuration reaches, all further ones
/// share the name "other".
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

    /// Of the owning thread only.
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

    /// Of the owning thread only; null when nothing was counted under this name yet.
    Counters *find(const Id &id)
    {
        const auto found = m_byId.find(id);
        return found == m_byId.end() ? nullptr : found->second;
    }

    /// Of any thread.
    [[nodiscard]] const Counters *first() const { return m_first.load(std::memory_order_acquire); }

private:
    static constexpr std::size_t maximumNames = 256;

    std::unordered_map<Id, Counters *> m_byId;
    std::atomic<Counters *> m_first{nullptr};
};

/// The observer of one thread.
class ThreadCounters : public QueryObserver
{
public:
    explicit ThreadCounters(const ViewSource &views)
        : m_views(views)
    {
    }

    void onQueryFinished(const Query &query, const Answer &answer, Duration latency) override;
    void onSubRequestFinished(const SubRequestRecord &record) override;

    /// Adds this thread's counts to the totals. Of any thread.
    void addTo(MetricsTotals &totals) const;

private:
    /// A backend's counters, or those of all names that are not published.
    BackendCounters &countersOf(const BackendId &backend);
    Duration objectiveOf(BackendCounters &counters);

    const ViewSource &m_views;
    CounterList<BackendId, BackendCounters> m_backends;
    CounterList<ServiceId, ServiceCounters> m_services;
};

} // namespace oleander
