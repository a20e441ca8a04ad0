#pragma once

#include <oleander/decisions/resources/MemoryBudget.h>
#include <oleander/ports/EventLog.h>
#include <oleander/ports/TimerService.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace oleander {

/// A connection that can be closed to free memory.
class EvictableConnection
{
public:
    virtual ~EvictableConnection() = default;

    [[nodiscard]] virtual HeldConnection held(TimePoint now) const = 0;
    virtual void evict() = 0;
};

using EvictableConnections = std::vector<std::shared_ptr<EvictableConnection>>;
/// Appends the connections of one listener.
using EvictableSource = std::function<void(EvictableConnections &)>;

/// Counters since process start.
struct MemoryCounts
{
    std::uint64_t evicted = 0;
    std::uint64_t evictedBytes = 0;
    /// Requests that were refused before they were passed on.
    std::uint64_t refused = 0;
};

/// What the process holds on behalf of others, and the limits on it. One for all listeners of a
/// process. Not thread-safe.
class ProcessMemory
{
public:
    /// The timer and the log must outlive all calls of functions other than release().
    ProcessMemory(std::size_t machineBytes, TimerService &timer, EventLog &log);

    void addSource(EvictableSource source) { m_sources.push_back(std::move(source)); }

    // Accounting
    void hold(MemoryHolder holder, std::size_t bytes);
    void release(MemoryHolder holder, std::size_t bytes);
    [[nodiscard]] const MemoryUse &use() const { return m_use; }
    [[nodiscard]] const MemoryLimits &limits() const { return m_limits; }
    [[nodiscard]] const MemoryCounts &counts() const { return m_counts; }

    // Limits
    /// Closes connections while more is held than the soft limit. May close the connection that
    /// calls it.
    void reclaim();
    /// Whether `holder` may hold `bytes` more. Closes connections if that is necessary.
    bool makeRoom(MemoryHolder holder, std::size_t bytes);
    /// Whether so little is held that single connections may have larger buffers.
    [[nodiscard]] bool isAmple() const { return m_use.total < m_limits.soft / 2; }
    /// Counts a request that was refused for want of memory.
    void countRefusal();

private:
    void evict(std::size_t bytes);
    void report();

    TimerService &m_timer;
    EventLog &m_log;
    MemoryLimits m_limits;
    MemoryUse m_use;
    MemoryCounts m_counts;
    MemoryCounts m_reported;
    std::vector<EvictableSource> m_sources;
    TimePoint m_nextReport{};
};

/// Bytes that one owner holds; given back at the end. Does nothing without a process memory.
class MemoryCharge
{
public:
    MemoryCharge(std::shared_ptr<ProcessMemory> memory, MemoryHolder holder)
        : m_memory(std::move(memory))
        , m_holder(holder)
    {
    }
    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;
    ~MemoryCharge() { set(0); }

    void set(std::size_t bytes)
    {
        if (!m_memory || bytes == m_bytes)
            return;
        if (bytes > m_bytes)
            m_memory->hold(m_holder, bytes - m_bytes);
        else
            m_memory->release(m_holder, m_bytes - bytes);
        m_bytes = bytes;
    }
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<ProcessMemory> m_memory;
    MemoryHolder m_holder;
    std::size_t m_bytes = 0;
};

/// Makes the allocator return large blocks to the system when they are freed. Without this, blocks
/// of bodies would remain in the heap after a burst.
void returnFreedMemory();

} // namespace oleander
