#include "concurrency/AsioHeaders.h"

#include <oleander/adapters/concurrency/EventLoop.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <cassert>
#include <cerrno>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace oleander {

namespace {

/// Nodes that the queue keeps ready; it allocates more when they are used up.
constexpr std::size_t initialQueueNodes = 1024;
/// Tasks run before sockets and timers get their turn again.
constexpr int tasksPerTurn = 256;

} // namespace

class EventLoop::Impl
{
public:
    using Task = std::function<void()>;

    Impl()
        : m_guard(boost::asio::make_work_guard(m_context))
        , m_wakeUp(m_context, openEventFd())
        , m_tasks(initialQueueNodes)
    {
        awaitWakeUp();
    }

    ~Impl()
    {
        m_tasks.consume_all([](Task *task) { delete task; });
    }

    void post(Task task)
    {
        auto owned = std::make_unique<Task>(std::move(task));
        const bool isQueued = m_tasks.push(owned.get());
        assert(isQueued); // Only out of memory makes a growing queue refuse.
        if (isQueued)
            (void)owned.release();
        wakeUp();
    }

    void stop()
    {
        m_isStopping.store(true);
        wakeUp();
    }

    void run()
    {
        m_context.restart();
        if (!m_isStopping.exchange(false))
            m_context.run();
        m_isStopping.store(false);
    }

    boost::asio::io_context m_context{1};

private:
    static int openEventFd()
    {
        const int descriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        if (descriptor < 0)
            throw std::system_error(errno, std::generic_category(), "eventfd");
        return descriptor;
    }

    void wakeUp()
    {
        if (m_isWakeUpPending.exchange(true))
            return;
        const std::uint64_t one = 1;
        // A full counter still wakes the reader, so a failed write loses nothing.
        [[maybe_unused]] const auto written = ::write(m_wakeUp.native_handle(), &one, sizeof one);
    }

    void awaitWakeUp()
    {
        m_wakeUp.async_read_some(boost::asio::buffer(&m_wakeUpCount, sizeof m_wakeUpCount),
                                 [this](const boost::system::error_code &error, std::size_t) {
                                     if (!error)
                                         onWakeUp();
                                 });
    }

    void onWakeUp()
    {
        awaitWakeUp();
        // Cleared before the queue is read: a task pushed from here on causes a new wake-up.
        m_isWakeUpPending.store(false);
        runTasks();
        if (m_isStopping.load())
            m_context.stop();
    }

    void runTasks()
    {
        for (int count = 0; count < tasksPerTurn; ++count) {
            Task *next = nullptr;
            if (!m_tasks.pop(next))
                return;
            const std::unique_ptr<Task> task(next);
            (*task)();
        }
        wakeUp();
    }

    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    boost::asio::posix::stream_descriptor m_wakeUp;
    boost::lockfree::queue<Task *> m_tasks;
    std::atomic<bool> m_isWakeUpPending = false;
    std::atomic<bool> m_isStopping = false;
    std::uint64_t m_wakeUpCount = 0;
};

EventLoop::EventLoop()
    : m_impl(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    m_impl->run();
}

void EventLoop::stop()
{
    m_impl->stop();
}

void EventLoop::post(std::function<void()> task)
{
    m_impl->post(std::move(task));
}

boost::asio::io_context &EventLoop::context()
{
    return m_impl->m_context;
}

} // namespace oleander
