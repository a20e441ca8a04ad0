#include "concurrency/AsioHeaders.h"

#include <oleander/adapters/concurrency/EventLoop.h>

#include <boost/asio/executor_work_guard.hpp>

#include <atomic>
#include <cerrno>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace oleander {

namespace {

/// Maximum number of posted tasks run before sockets and timers are handled again.
constexpr int maximumTasksPerWakeUp = 256;

} // namespace

class EventLoop::Impl
{
public:
    using Task = std::function<void()>;

    Impl()
        : m_guard(boost::asio::make_work_guard(m_context))
        , m_wakeUp(m_context, openEventFd())
    {
        awaitWakeUp();
    }

    ~Impl()
    {
        takePostedTasks();
        destroy(std::exchange(m_readyTasks, nullptr));
    }

    void post(Task task)
    {
        auto *const node = new Node{std::move(task), m_postedTasks.load(std::memory_order_relaxed)};
        // Nodes are added one at a time but only removed all at once, so the list has no ABA
        // problem: if the head is unchanged, `node->next` is still correct.
        while (!m_postedTasks.compare_exchange_weak(node->next, node, std::memory_order_release,
                                                    std::memory_order_relaxed)) {
        }
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

    boost::asio::io_context &context() { return m_context; }

private:
    struct Node
    {
        Task task;
        Node *next = nullptr;
    };

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
        // The write can only fail if the counter is full, and then the reader is woken anyway.
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
        // Cleared before the queue is read, so that a task posted from now on causes a new wake-up.
        m_isWakeUpPending.store(false);
        runTasks();
        if (m_isStopping.load())
            m_context.stop();
    }

    void runTasks()
    {
        for (int count = 0; count < maximumTasksPerWakeUp; ++count) {
            if (!m_readyTasks)
                takePostedTasks();
            if (!m_readyTasks)
                return;
            const std::unique_ptr<Node> node(m_readyTasks);
            m_readyTasks = node->next;
            node->task();
        }
        wakeUp();
    }

    /// Moves all tasks posted by other threads to the ready list, in the order of posting.
    void takePostedTasks()
    {
        Node *newest = m_postedTasks.exchange(nullptr, std::memory_order_acquire);
        Node *ready = nullptr;
        while (newest) {
            Node *const older = std::exchange(newest->next, ready);
            ready = newest;
            newest = older;
        }
        Node **end = &m_readyTasks;
        while (*end)
            end = &(*end)->next;
        *end = ready;
    }

    static void destroy(Node *first)
    {
        while (first) {
            const std::unique_ptr<Node> node(first);
            first = node->next;
        }
    }

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    boost::asio::posix::stream_descriptor m_wakeUp;
    /// Lock-free list of posted tasks, newest first; any thread may add to the list.
    std::atomic<Node *> m_postedTasks = nullptr;
    /// Tasks taken from the posted list, oldest first; used only on the loop's thread.
    Node *m_readyTasks = nullptr;
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
    return m_impl->context();
}

} // namespace oleander
