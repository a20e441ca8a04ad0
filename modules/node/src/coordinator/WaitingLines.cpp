#include "coordinator/WaitingLines.h"

namespace oleander {

std::size_t WaitingLines::addLine()
{
    m_lines.emplace_back();
    return m_lines.size() - 1;
}

void WaitingLines::push(std::size_t line, Urgency urgency, WaitingTask task)
{
    m_lines[line][static_cast<std::size_t>(urgency)].push_back(task);
    ++m_total;
}

std::optional<WaitingTask>
WaitingLines::pop(const std::vector<std::size_t> &lines,
                  const std::function<bool(const WaitingTask &)> &isStale,
                  const std::function<bool(const WaitingTask &)> &accepts)
{
    for (std::size_t urgency = urgencies; urgency-- > 0;) {
        std::deque<WaitingTask> *oldest = nullptr;
        for (const std::size_t line : lines) {
            auto &queue = m_lines[line][urgency];
            dropStale(queue, isStale);
            if (queue.empty() || !accepts(queue.front()))
                continue;
            if (!oldest || queue.front().since < oldest->front().since)
                oldest = &queue;
        }
        if (oldest) {
            const WaitingTask task = oldest->front();
            oldest->pop_front();
            --m_total;
            return task;
        }
    }
    return std::nullopt;
}

std::size_t WaitingLines::ahead(std::size_t line, Urgency urgency) const
{
    std::size_t count = 0;
    for (auto index = static_cast<std::size_t>(urgency); index < urgencies; ++index)
        count += m_lines[line][index].size();
    return count;
}

void WaitingLines::dropStale(std::deque<WaitingTask> &queue,
                             const std::function<bool(const WaitingTask &)> &isStale)
{
    while (!queue.empty() && isStale(queue.front())) {
        queue.pop_front();
        --m_total;
    }
}

} // namespace oleander
