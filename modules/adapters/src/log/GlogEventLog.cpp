#include <oleander/adapters/log/EventLine.h>
#include <oleander/adapters/log/GlogEventLog.h>

#include <boost/lockfree/queue.hpp>
#include <glog/logging.h>

#include <atomic>
#include <thread>

namespace oleander {

namespace {

constexpr std::size_t queueCapacity = 8192;

struct Line
{
    EventSeverity severity = EventSeverity::Info;
    std::string text;
};

void write(const Line &line)
{
    switch (line.severity) {
    case EventSeverity::Info:
        LOG(INFO) << line.text;
        return;
    case EventSeverity::Warning:
        LOG(WARNING) << line.text;
        return;
    case EventSeverity::Error:
        LOG(ERROR) << line.text;
        return;
    }
}

} // namespace

struct GlogEventLog::Impl
{
    boost::lockfree::queue<Line *, boost::lockfree::capacity<queueCapacity>> queue;
    /// Incremented for each line and at shutdown; the writer thread sleeps until the value changes.
    std::atomic<std::uint32_t> wakeUps{0};
    std::atomic<bool> isStopping{false};
    std::atomic<std::uint64_t> dropped{0};
    std::uint64_t reportedDrops = 0;
    std::thread writer;

    void wake()
    {
        wakeUps.fetch_add(1, std::memory_order_release);
        wakeUps.notify_one();
    }

    void drain()
    {
        Line *next = nullptr;
        while (queue.pop(next)) {
            const std::unique_ptr<Line> line(next);
            write(*line);
        }
        const std::uint64_t drops = dropped.load(std::memory_order_relaxed);
        if (drops != reportedDrops)
            LOG(WARNING) << drops - reportedDrops << " log lines dropped, the queue was full";
        reportedDrops = drops;
    }

    void run()
    {
        while (!isStopping.load(std::memory_order_acquire)) {
            const std::uint32_t seen = wakeUps.load(std::memory_order_acquire);
            drain();
            if (!isStopping.load(std::memory_order_acquire))
                wakeUps.wait(seen, std::memory_order_acquire);
        }
        drain();
        google::FlushLogFiles(google::GLOG_INFO);
    }
};

GlogEventLog::GlogEventLog()
    : m_impl(std::make_unique<Impl>())
{
    m_impl->writer = std::thread([impl = m_impl.get()] { impl->run(); });
}

GlogEventLog::~GlogEventLog()
{
    m_impl->isStopping.store(true, std::memory_order_release);
    m_impl->wake();
    m_impl->writer.join();
}

void GlogEventLog::record(EventId event, const RequestId &request, std::string_view text)
{
    auto line = std::make_unique<Line>();
    line->severity = eventInfo(event).severity;
    line->text = eventLine(event, request, text);
    if (m_impl->queue.bounded_push(line.get()))
        static_cast<void>(line.release());
    else
        m_impl->dropped.fetch_add(1, std::memory_order_relaxed);
    m_impl->wake();
}

std::uint64_t GlogEventLog::droppedLines() const
{
    return m_impl->dropped.load(std::memory_order_relaxed);
}

} // namespace oleander
