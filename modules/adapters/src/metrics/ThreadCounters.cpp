#include "ThreadCounters.h"

#include <oleander/settings/PolicyFor.h>

#include <algorithm>

namespace oleander {

namespace {

template <std::size_t size>
void addCounts(std::array<std::uint64_t, size> &totals, const std::array<ThreadCount, size> &counts)
{
    for (std::size_t index = 0; index < size; ++index)
        totals[index] += counts[index].read();
}

void addBackend(BackendTotals &totals, const BackendCounters &counters)
{
    addCounts(totals.outcomes, counters.outcomes);
    addCounts(totals.errors, counters.errors);
    totals.extraSubRequests += counters.extraSubRequests.read();
    totals.burn.queries += counters.queries.read();
    totals.burn.late += counters.late.read();
    totals.burn.shardsAsked += counters.shardsAsked.read();
    totals.burn.shardsMissing += counters.shardsMissing.read();
    totals.burn.latencies.merge(counters.latencies.read());
}

void addService(ServiceTotals &totals, const ServiceCounters &counters)
{
    addCounts(totals.replies, counters.replies);
    totals.extra += counters.extra.read();
    totals.latencies.merge(counters.latencies.read());
}

/// Name of the shared entry for queries to unpublished backends.
const BackendId &unknownBackend()
{
    static const BackendId name("unknown");
    return name;
}

bool isPublished(const FleetView *view, const BackendId &backend)
{
    if (!view)
        return false;
    return std::ranges::any_of(view->partitions, [&](const auto &entry) {
        return entry.second && entry.second->backend == backend;
    });
}

} // namespace

LatencyHistogram ThreadLatencyHistogram::read() const
{
    std::vector<std::uint64_t> counts;
    counts.reserve(m_bins.size());
    for (const ThreadCount &bin : m_bins)
        counts.push_back(bin.read());
    return LatencyHistogram::fromCounts(counts).value();
}

/// Callers may send any name, so only published backends get their own counters.
BackendCounters &ThreadCounters::countersOf(const BackendId &backend)
{
    if (BackendCounters *known = m_backends.find(backend))
        return *known;
    const bool isNamed = isPublished(m_views.view().get(), backend);
    return m_backends.of(isNamed ? backend : unknownBackend());
}

Duration ThreadCounters::objectiveOf(BackendCounters &counters)
{
    const std::shared_ptr<const FleetView> view = m_views.view();
    if (!view || !view->policies)
        return Policy{}.latencyObjective;
    const PolicySet &policies = *view->policies;
    if (!counters.hasObjective || counters.objectiveVersion != policies.version) {
        Subject subject;
        subject.backend = counters.backend;
        counters.objective = policyFor(policies, subject).latencyObjective;
        counters.objectiveVersion = policies.version;
        counters.hasObjective = true;
    }
    return counters.objective;
}

void ThreadCounters::onQueryFinished(const Query &query, const Answer &answer, Duration latency)
{
    BackendCounters &counters = countersOf(query.backend);
    counters.outcomes[static_cast<std::size_t>(answer.outcome)].add(1);
    counters.errors[static_cast<std::size_t>(answer.error)].add(1);
    counters.extraSubRequests.add(static_cast<std::uint64_t>(answer.extraSubRequests));
    // Unpublished backends have no objectives.
    if (!isCounted(answer.error) || counters.backend == unknownBackend())
        return;
    counters.queries.add(1);
    if (isLate(answer.outcome, latency, objectiveOf(counters)))
        counters.late.add(1);
    counters.latencies.add(latency);
    const Coverage &coverage = answer.coverage;
    counters.shardsAsked.add(static_cast<std::uint64_t>(coverage.asked));
    counters.shardsMissing.add(static_cast<std::uint64_t>(coverage.asked - coverage.answered));
}

void ThreadCounters::onSubRequestFinished(const SubRequestRecord &record)
{
    ServiceCounters &counters = m_services.of(record.service);
    counters.replies[static_cast<std::size_t>(record.kind)].add(1);
    if (record.isExtra)
        counters.extra.add(1);
    counters.latencies.add(record.latency);
}

void ThreadCounters::addTo(MetricsTotals &totals) const
{
    for (const BackendCounters *entry = m_backends.first(); entry; entry = entry->next)
        addBackend(totals.backends[entry->backend], *entry);
    for (const ServiceCounters *entry = m_services.first(); entry; entry = entry->next)
        addService(totals.services[entry->service], *entry);
}

} // namespace oleander
