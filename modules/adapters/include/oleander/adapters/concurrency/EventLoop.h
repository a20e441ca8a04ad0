#pragma once

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// One thread's events: sockets, timers and tasks that other threads hand over.
///
/// A worker of a daemon has one loop and runs everything it owns on it, so that nothing a worker
/// owns is locked. The loop does not start a thread; the thread that calls run() becomes its owner.
///
/// Tasks from other threads pass through a lock-free queue and an eventfd, not through Asio's own
/// queue, whose mutex would then be shared between threads.
class EventLoop
{
public:
    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    /// Tasks that were not run are destroyed without being called.
    ~EventLoop();

    // Running
    /// Handles events until stop(). May be called again afterwards.
    void run();
    /// Makes run() return after the event that is being handled. Safe from any thread.
    void stop();

    // Handing over work
    /// Calls the task on the loop's thread, after those handed over earlier by the same thread.
    /// Safe from any thread, never blocks, and never calls the task itself.
    void post(std::function<void()> task);

    // For adapters
    /// The context that sockets of this loop are opened on. Only for use on the loop's thread, or
    /// before run().
    [[nodiscard]] boost::asio::io_context &context();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace oleander
