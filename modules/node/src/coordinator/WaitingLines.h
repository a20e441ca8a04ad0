#pragma once

#include "coordinator/ActiveQuery.h"

#include <array>
#include <deque>
#include <functional>
#include <vector>

namespace oleander {

/// One task that waits for a slot.
struct WaitingTask
{
    ActiveQueryId query;
    std::size_t position = 0;
    TimePoint since{};
};

/// Sub-requests that wait for a slot: a line for each shard, in it one for each urgency.
///
/// A line belongs to a shard and not to a server, so work that waits for a server which goes away
/// is taken by the shard's other replicas without being moved.
class WaitingLines
{
public:
    /// Adds a line and returns its index.
    std::size_t addLine();

    void push(std::size_t line, Urgency urgency, WaitingTask task);

    /// Takes the most urgent, then oldest, task of the given lines that `accepts`. Tasks for which
    /// `isStale` holds are dropped on the way. Only the first task of each line is considered.
    std::optional<WaitingTask> pop(const std::vector<std::size_t> &lines,
                                   const std::function<bool(const WaitingTask &)> &isStale,
                                   const std::function<bool(const WaitingTask &)> &accepts);

    /// Tasks in a line of the given urgency or above, stale ones included.
    [[nodiscard]] std::size_t ahead(std::size_t line, Urgency urgency) const;
    /// All waiting tasks, stale ones included.
    [[nodiscard]] std::size_t total() const { return m_total; }

private:
    static constexpr std::size_t urgencies = 3;
    using Line = std::array<std::deque<WaitingTask>, urgencies>;

    void dropStale(std::deque<WaitingTask> &queue,
                   const std::function<bool(const WaitingTask &)> &isStale);

    std::vector<Line> m_lines;
    std::size_t m_total = 0;
};

} // namespace oleander
