#include <oleander/adapters/metrics/PrometheusText.h>

#include <cstdio>

namespace oleander {

namespace {

/// Bins of the histogram that one bucket of the page adds up.
constexpr std::size_t binsPerBucket = 8;

/// Writes families of the text format.
class Page
{
public:
    void family(std::string_view name, std::string_view type, std::string_view help)
    {
        m_name = "oleanderway_" + std::string(name);
        m_text += "# HELP " + m_name + " " + std::string(help) + "\n";
        m_text += "# TYPE " + m_name + " " + std::string(type) + "\n";
    }

    /// Labels are `key="value"` pairs joined by commas.
    void sample(const std::string &suffix, const std::string &labels, const std::string &value)
    {
        m_text += m_name + suffix;
        if (!labels.empty())
            m_text += "{" + labels + "}";
        m_text += " " + value + "\n";
    }

    void count(const std::string &labels, std::uint64_t value)
    {
        sample("", labels, std::to_string(value));
    }

    void histogram(const std::string &labels, const LatencyHistogram &latencies);

    std::string take() { return std::move(m_text); }

private:
    std::string m_name;
    std::string m_text;
};

std::string formatNumber(double value)
{
    constexpr int bufferSize = 40;
    char buffer[bufferSize];
    std::snprintf(buffer, sizeof buffer, "%.9g", value);
    return buffer;
}

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void Page::histogram(const std::string &labels, const LatencyHistogram &latencies)
{
    const std::vector<std::uint64_t> counts = latencies.counts();
    std::uint64_t total = 0;
    double sum = 0;
    for (std::size_t bin = 0; bin < counts.size(); ++bin) {
        total += counts[bin];
        sum += static_cast<double>(counts[bin]) * inSeconds(LatencyHistogram::upperEdge(bin));
        const bool isBucket = bin % binsPerBucket == 0 && bin + 1 < counts.size();
        if (isBucket) {
            std::string bucket = labels + ",le=\"";
            bucket += formatNumber(inSeconds(LatencyHistogram::upperEdge(bin))) + "\"";
            sample("_bucket", bucket, std::to_string(total));
        }
    }
    sample("_bucket", labels + ",le=\"+Inf\"", std::to_string(total));
    sample("_sum", labels, formatNumber(sum));
    sample("_count", labels, std::to_string(total));
}

std::string label(std::string_view key, std::string_view value)
{
    std::string text = std::string(key) + "=\"";
    for (const char character : value) {
        if (character == '\\' || character == '"')
            text += '\\';
        if (character == '\n')
            text += "\\n";
        else
            text += character;
    }
    return text + "\"";
}

void writeOutcomes(Page &page, const MetricsTotals &totals)
{
    page.family("queries_total", "counter", "Finished queries by outcome.");
    for (const auto &[backend, counts] : totals.backends) {
        for (std::size_t index = 0; index < outcomeCount; ++index) {
            const auto outcome = static_cast<Outcome>(index);
            page.count(label("backend", backend.text()) + "," + label("outcome", nameOf(outcome)),
                       counts.outcomes[index]);
        }
    }
    page.family("query_errors_total", "counter", "Finished queries by error kind.");
    for (const auto &[backend, counts] : totals.backends) {
        for (std::size_t index = 1; index < errorKindCount; ++index) {
            if (counts.errors[index] == 0)
                continue;
            const std::string_view name = answerFor(static_cast<ErrorKind>(index)).name;
            page.count(label("backend", backend.text()) + "," + label("error", name),
                       counts.errors[index]);
        }
    }
}

using BackendValueGetter = std::uint64_t (*)(const BackendTotals &);

void writeBackendCounter(Page &page, const MetricsTotals &totals, std::string_view name,
                         std::string_view help, BackendValueGetter number)
{
    page.family(name, "counter", help);
    for (const auto &[backend, counts] : totals.backends)
        page.count(label("backend", backend.text()), number(counts));
}

void writeBackends(Page &page, const MetricsTotals &totals)
{
    writeOutcomes(page, totals);
    writeBackendCounter(page, totals, "queries_late_total",
                        "Queries that missed the latency objective.",
                        [](const BackendTotals &counts) { return counts.burn.late; });
    writeBackendCounter(page, totals, "shards_asked_total", "Shards asked for.",
                        [](const BackendTotals &counts) { return counts.burn.shardsAsked; });
    writeBackendCounter(page, totals, "shards_missing_total", "Shards missing in answers.",
                        [](const BackendTotals &counts) { return counts.burn.shardsMissing; });
    writeBackendCounter(page, totals, "query_extra_subrequests_total",
                        "Sub-requests beyond one for each shard.",
                        [](const BackendTotals &counts) { return counts.extraSubRequests; });
    page.family("query_latency_seconds", "histogram", "Time from receipt to answer.");
    for (const auto &[backend, counts] : totals.backends)
        page.histogram(label("backend", backend.text()), counts.burn.latencies);
}

void writeServices(Page &page, const MetricsTotals &totals)
{
    page.family("subrequests_total", "counter", "Finished sub-requests by kind of reply.");
    for (const auto &[service, counts] : totals.services) {
        for (std::size_t index = 0; index < replyKindCount; ++index) {
            const auto kind = static_cast<ReplyKind>(index);
            page.count(label("service", service.text()) + "," + label("reply", nameOf(kind)),
                       counts.replies[index]);
        }
    }
    page.family("subrequests_extra_total", "counter", "Finished hedges and retries.");
    for (const auto &[service, counts] : totals.services)
        page.count(label("service", service.text()), counts.extra);
    page.family("subrequest_latency_seconds", "histogram", "Time from send to reply.");
    for (const auto &[service, counts] : totals.services)
        page.histogram(label("service", service.text()), counts.latencies);
}

void writeUnlabelledMetrics(Page &page, std::string_view type,
                            std::span<const UnlabelledMetric> numbers)
{
    for (const UnlabelledMetric &number : numbers) {
        page.family(number.name, type, number.help);
        page.sample("", "", formatNumber(number.value));
    }
}

} // namespace

std::string prometheusText(std::span<const UnlabelledMetric> counters,
                           std::span<const UnlabelledMetric> gauges,
                           const LatencyHistogram &answers)
{
    Page page;
    writeUnlabelledMetrics(page, "counter", counters);
    writeUnlabelledMetrics(page, "gauge", gauges);
    page.family("answer_latency_seconds", "histogram", "Time from receipt to answer.");
    page.histogram(label("protocol", "http"), answers);
    return page.take();
}

std::string prometheusText(const MetricsTotals &totals, std::span<const UnlabelledMetric> gauges)
{
    Page page;
    writeBackends(page, totals);
    writeServices(page, totals);
    writeUnlabelledMetrics(page, "gauge", gauges);
    return page.take();
}

} // namespace oleander
