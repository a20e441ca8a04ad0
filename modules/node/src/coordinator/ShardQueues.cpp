#include "coordinator/ShardQueues.h"

namespace oleander {

std::size_t ShardQueues::addQueue()
{
    m_queues.emplace_back();
    return m_queues.size() - 1;
}

void ShardQueues::push(std::size_t shardQueue, Urgency urgency, QueuedTask task)
{
    m_queues[shardQueue][static_cast<std::size_t>(urgency)].push_back(task);
    ++m_total;
}

std::optional<QueuedTask> ShardQueues::pop(const std::vector<std::size_t> &queues,
                                           const std::function<bool(const QueuedTask &)> &isStale,
                                           const std::function<bool(const QueuedTask &)> &accepts)
{
    for (std::size_t urgency = urgencies; urgency-- > 0;) {
        std::deque<QueuedTask> *oldest = nullptr;
        for (const std::size_t shardQueue : queues) {
            auto &queue = m_queues[shardQueue][urgency];
            dropStale(queue, isStale);
            if (queue.empty() || !accepts(queue.front()))
                continue;
            if (!oldest || queue.front().since < oldest->front().since)
                oldest = &queue;
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

std::size_t ShardQueues::countAtOrAbove(std::size_t shardQueue, Urgency urgency) const
{
    std::size_t count = 0;
    for (auto index = static_cast<std::size_t>(urgency); index < urgencies; ++index)
        count += m_queues[shardQueue][index].size();
    return count;
}

void ShardQueues::dropStale(std::deque<QueuedTask> &queue,
                            const std::function<bool(const QueuedTask &)> &isStale)
{
    while (!queue.empty() && isStale(queue.front())) {
        queue.pop_front();
        --m_total;
    }
}

} // namespace oleander
