#include <oleander/adapters/resources/MemoryMetrics.h>

namespace oleander {

void appendMemoryMetrics(const ProcessMemory &memory, std::vector<UnlabelledMetric> &counters,
                         std::vector<UnlabelledMetric> &gauges)
{
    const auto number = [](auto value) { return static_cast<double>(value); };
    const MemoryCounts &counts = memory.counts();
    counters.push_back({"memory_connections_closed_total",
                        "Connections closed to stay within the memory limit.",
                        number(counts.evicted)});
    counters.push_back({"memory_closed_bytes_total", "Bytes that those connections held.",
                        number(counts.evictedBytes)});
    counters.push_back({"memory_refusals_total",
                        "Requests and messages refused, not run, for want of memory.",
                        number(counts.refused)});
    const MemoryUse &use = memory.use();
    const auto addHolder = [&](MemoryHolder holder, std::string_view name, std::string_view help) {
        gauges.push_back({name, help, number(use.by(holder))});
    };
    addHolder(MemoryHolder::UnfinishedRequests, "memory_unfinished_bytes",
              "Heads and bodies that are being read.");
    addHolder(MemoryHolder::RequestsUnderWay, "memory_under_way_bytes",
              "Requests that are being answered.");
    addHolder(MemoryHolder::ReadAhead, "memory_read_ahead_bytes",
              "Bytes behind requests that are being answered.");
    addHolder(MemoryHolder::Answers, "memory_answer_bytes",
              "Answers that callers have not read yet.");
    addHolder(MemoryHolder::Pages, "memory_page_bytes", "Bodies sent to the pages of operators.");
    addHolder(MemoryHolder::PeerMessages, "memory_peer_bytes",
              "Messages of instances that are being read.");
    gauges.push_back(
        {"memory_held_bytes", "Bytes held for clients and instances.", number(use.total)});
    gauges.push_back({"memory_limit_bytes", "Limit on them.", number(memory.limits().hard)});
}

} // namespace oleander
