#pragma once

#include "coordinator/ActiveQuery.h"

#include <array>
#include <deque>
#include <functional>
#include <vector>

namespace oleander {

/// A task that waits for a free slot of a server.
struct QueuedTask
{
    ActiveQueryId query;
    std::size_t position = 0;
    TimePoint since{};
};

/// Sub-requests that wait for a free slot of a server: a queue for each shard, subdivided by
/// urgency.
///
/// A queue belongs to a shard and not to a server, so that the other replicas of the shard take
/// over its work, without moving it, when a server goes away.
class ShardQueues
{
public:
    /// Adds a queue and returns its index.
    std::size_t addQueue();

    void push(std::size_t queue, Urgency urgency, QueuedTask task);

    /// Removes and returns the most urgent task, and among these the oldest, for which `accepts`
    /// returns true. For each of the given queues, only the first task of each urgency is
    /// considered. Tasks at the front for which `isStale` returns true are removed first.
    std::optional<QueuedTask> pop(const std::vector<std::size_t> &queues,
                                  const std::function<bool(const QueuedTask &)> &isStale,
                                  const std::function<bool(const QueuedTask &)> &accepts);

    /// Number of tasks in a queue with the given urgency or a higher one, including stale tasks.
    [[nodiscard]] std::size_t countAtOrAbove(std::size_t queue, Urgency urgency) const;
    /// Number of tasks in all queues, including stale ones.
    [[nodiscard]] std::size_t total() const { return m_total; }

private:
    static constexpr std::size_t urgencyCount = 3;
    using UrgencyQueues = std::array<std::deque<QueuedTask>, urgencyCount>;

    void dropStale(std::deque<QueuedTask> &urgencyQueue,
                   const std::function<bool(const QueuedTask &)> &isStale);

    std::vector<UrgencyQueues> m_queues;
    std::size_t m_total = 0;
};

} // namespace oleander
