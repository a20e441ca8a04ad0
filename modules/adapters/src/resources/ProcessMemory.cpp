#include <oleander/adapters/resources/ProcessMemory.h>

#include <malloc.h>

namespace oleander {

namespace {

/// At most one log line in this time, however many connections are closed.
constexpr Duration reportPeriod = seconds(1);
/// Blocks of this size and more are mapped one by one. A threshold that is set does not grow, as
/// the allocator's own does with the first large block that is freed.
constexpr int mappedBlockBytes = 65536;
constexpr int trimBytes = 1048576;

} // namespace

ProcessMemory::ProcessMemory(std::size_t machineBytes, TimerService &timer, EventLog &log)
    : m_timer(timer)
    , m_log(log)
    , m_limits(divideMemory(machineBytes))
{
}

void ProcessMemory::hold(MemoryHolder holder, std::size_t bytes)
{
    m_use.held[static_cast<std::size_t>(holder)] += bytes;
    m_use.total += bytes;
}

void ProcessMemory::release(MemoryHolder holder, std::size_t bytes)
{
    m_use.held[static_cast<std::size_t>(holder)] -= bytes;
    m_use.total -= bytes;
}

void ProcessMemory::reclaim()
{
    if (const std::size_t bytes = bytesToFree(m_use, m_limits))
        evict(bytes);
}

bool ProcessMemory::makeRoom(MemoryHolder holder, std::size_t bytes)
{
    if (mayHold(m_use, m_limits, holder, bytes))
        return true;
    if (bytes <= m_limits.hard && m_use.total > m_limits.hard - bytes)
        evict(m_use.total - (m_limits.hard - bytes));
    return mayHold(m_use, m_limits, holder, bytes);
}

void ProcessMemory::countRefusal()
{
    ++m_counts.refused;
    report();
}

void ProcessMemory::evict(std::size_t bytes)
{
    EvictableConnections connections;
    for (const EvictableSource &source : m_sources)
        source(connections);
    const TimePoint now = m_timer.now();
    std::vector<HeldConnection> held;
    held.reserve(connections.size());
    for (const auto &connection : connections)
        held.push_back(connection->held(now));
    for (const std::size_t index : chooseEvicted(held, bytes)) {
        ++m_counts.evicted;
        m_counts.evictedBytes += held[index].bytes;
        connections[index]->evict();
    }
    report();
}

void ProcessMemory::report()
{
    const TimePoint now = m_timer.now();
    if (now < m_nextReport)
        return;
    m_nextReport = now + reportPeriod;
    m_log.record(EventId::MemoryShortage, {},
                 {{"heldBytes", m_use.total},
                  {"limitBytes", m_limits.hard},
                  {"closed", m_counts.evicted - m_reported.evicted},
                  {"closedBytes", m_counts.evictedBytes - m_reported.evictedBytes},
                  {"refused", m_counts.refused - m_reported.refused},
                  {"unfinishedBytes", m_use.by(MemoryHolder::UnfinishedRequests)},
                  {"underWayBytes", m_use.by(MemoryHolder::RequestsUnderWay)},
                  {"answerBytes", m_use.by(MemoryHolder::Answers)}});
    m_reported = m_counts;
}

void returnFreedMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, trimBytes);
}

} // namespace oleander
