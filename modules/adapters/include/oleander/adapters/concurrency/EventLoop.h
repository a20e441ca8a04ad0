#pragma once

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// Event loop of one thread: handles sockets, timers and tasks posted by other threads.
///
/// Each worker of a daemon has one loop and uses its own objects only on that loop, so these
/// objects need no locks. The loop does not start a thread; the thread that calls run() becomes the
/// loop's thread.
///
/// Tasks from other threads are passed through a lock-free queue and an eventfd. Asio's own queue
/// is not used for these tasks, since its mutex would then be shared between threads.
class EventLoop
{
public:
    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    /// Destroys tasks that have not run, without calling them.
    ~EventLoop();

    // Running
    /// Handles events until stop() is called. May be called again after that.
    void run();
    /// Makes run() return after the current event has been handled. May be called from any thread.
    void stop();

    // Posting tasks
    /// Queues a task that then runs on the loop's thread. Tasks posted by the same thread run in
    /// the order of posting. May be called from any thread; never blocks, and never runs the task
    /// before it returns.
    void post(std::function<void()> task);

    // For adapters
    /// Returns the I/O context for the sockets of this loop. May only be used on the loop's thread,
    /// or before run().
    [[nodiscard]] boost::asio::io_context &context();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
