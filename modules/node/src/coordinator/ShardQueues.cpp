#include "coordinator/ShardQueues.h"

namespace oleander {

std::size_t ShardQueues::addQueue()
{
    m_queues.emplace_back();
    return m_queues.size() - 1;
}

void ShardQueues::push(std::size_t queue, Urgency urgency, QueuedTask task)
{
    m_queues[queue][static_cast<std::size_t>(urgency)].push_back(task);
    ++m_total;
}

std::optional<QueuedTask> ShardQueues::pop(const std::vector<std::size_t> &queues,
                                           const std::function<bool(const QueuedTask &)> &isStale,
                                           const std::function<bool(const QueuedTask &)> &accepts)
{
    for (std::size_t urgency = urgencyCount; urgency-- > 0;) {
        std::deque<QueuedTask> *oldest = nullptr;
        for (const std::size_t queue : queues) {
            auto &urgencyQueue = m_queues[queue][urgency];
            dropStale(urgencyQueue, isStale);
            if (urgencyQueue.empty() || !accepts(urgencyQueue.front()))
                continue;
            if (!oldest || urgencyQueue.front().since < oldest->front().since)
                oldest = &urgencyQueue;
        }
        if (oldest) {
            const QueuedTask task = oldest->front();
            oldest->pop_front();
            --m_total;
            return task;
        }
    }
    return std::nullopt;
}

std::size_t ShardQueues::countAtOrAbove(std::size_t queue, Urgency urgency) const
{
    std::size_t count = 0;
    for (auto index = static_cast<std::size_t>(urgency); index < urgencyCount; ++index)
        count += m_queues[queue][index].size();
    return count;
}

void ShardQueues::dropStale(std::deque<QueuedTask> &urgencyQueue,
                            const std::function<bool(const QueuedTask &)> &isStale)
{
    while (!urgencyQueue.empty() && isStale(urgencyQueue.front())) {
        urgencyQueue.pop_front();
        --m_total;
    }
}

} // namespace oleander
